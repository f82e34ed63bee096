/** What a call looks like to faults: names to values, for example part, access and instance. */
export type CallSite = Readonly<Record<string, string>>;

/** A fault in force. */
interface ActiveFault<F> {
  readonly fault: F;
  /** Strikes calls whose site has these values; all calls when empty. */
  readonly scope: CallSite;
  /** Calls that it still strikes. */
  readonly remaining: number;
}

/** Faults in force; the first that fits a call strikes it. */
export class FaultList<F> {
  private faults: Array<ActiveFault<F>> = [];

  add(
    fault: F,
    scope: CallSite = {},
    times: number = Number.POSITIVE_INFINITY,
  ): void {
    this.faults.push({fault, scope, remaining: times});
  }

  /** Ends the faults whose scope has these values; all when empty. */
  clear(scope: CallSite = {}): void {
    this.faults = this.faults.filter(active => !includes(active.scope, scope));
  }

  /** The fault that strikes a call; uses up one of its times. */
  strike(
    site: CallSite,
    accept: (fault: F) => boolean = () => true,
  ): F | undefined {
    const index = this.faults.findIndex(
      active => accept(active.fault) && includes(site, active.scope),
    );
    const active = this.faults[index];
    if (active === undefined) {
      return undefined;
    }
    if (active.remaining <= 1) {
      this.faults.splice(index, 1);
    } else {
      this.faults[index] = {...active, remaining: active.remaining - 1};
    }
    return active.fault;
  }
}

function includes(site: CallSite, scope: CallSite): boolean {
  return Object.entries(scope).every(([name, value]) => site[name] === value);
}

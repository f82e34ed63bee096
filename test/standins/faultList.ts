/** Attributes of a request that faults match, for example part, access and instance. */
export type RequestAttributes = Readonly<Record<string, string>>;

/** An active fault. */
interface ActiveFault<F> {
  readonly fault: F;
  /** Attributes that a request must have for the fault to apply; all requests match when empty. */
  readonly scope: RequestAttributes;
  /** Number of requests to which the fault still applies. */
  readonly remaining: number;
}

/** The active faults; the first that matches a request applies to it. */
export class FaultList<F> {
  private faults: Array<ActiveFault<F>> = [];

  add(
    fault: F,
    scope: RequestAttributes = {},
    times: number = Number.POSITIVE_INFINITY,
  ): void {
    this.faults.push({fault, scope, remaining: times});
  }

  /** Removes the faults whose scope has these values; all faults when empty. */
  clear(scope: RequestAttributes = {}): void {
    this.faults = this.faults.filter(
      active => !hasAttributes(active.scope, scope),
    );
  }

  /** The fault that applies to a request, if any; reduces its remaining count by one. */
  takeFault(
    attributes: RequestAttributes,
    accept: (fault: F) => boolean = () => true,
  ): F | undefined {
    const index = this.faults.findIndex(
      active => accept(active.fault) && hasAttributes(attributes, active.scope),
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

function hasAttributes(
  attributes: RequestAttributes,
  scope: RequestAttributes,
): boolean {
  return Object.entries(scope).every(
    ([name, value]) => attributes[name] === value,
  );
}

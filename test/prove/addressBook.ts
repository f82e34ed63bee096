import {Entrypoints, ProofCaller} from './proofCaller.js';

/** What a caller keeps of the answer to "which address": asked again after `keepSeconds`, not earlier. */
export class AddressBook {
  private kept: Entrypoints | undefined;
  private askedAt = 0;

  constructor(
    private readonly caller: ProofCaller,
    private readonly seeds: readonly string[],
    private readonly keepMilliseconds: number,
  ) {}

  /** The addresses kept, or the seeds before the first answer. */
  get addresses(): readonly string[] {
    return this.kept?.addresses ?? this.seeds;
  }

  /** The kept answer; asked for again when it is too old, at the first kept address that answers. */
  async current(): Promise<Entrypoints | undefined> {
    if (Date.now() - this.askedAt < this.keepMilliseconds) {
      return this.kept;
    }
    for (const address of this.addresses) {
      const answer = await this.caller.entrypoints(address);
      if (answer !== undefined && answer.addresses.length > 0) {
        this.kept = answer;
        this.askedAt = Date.now();
        return answer;
      }
    }
    return this.kept;
  }
}

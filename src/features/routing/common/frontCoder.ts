/** Longest shared prefix that one digit of `RADIX` can express. */
const MAXIMUM_SHARED_LENGTH = 35;
const RADIX = 36;

/** Encodes each name as the length of the prefix it shares with the previous name (one base-36 digit) and the rest. */
export class FrontCoder {
  constructor(private before = '') {}

  encode(name: string): string {
    let shared = 0;
    const maximum = Math.min(MAXIMUM_SHARED_LENGTH, name.length);
    while (shared < maximum && name[shared] === this.before[shared]) {
      shared += 1;
    }
    this.before = name;
    return shared.toString(RADIX) + name.slice(shared);
  }

  /** Decodes the next name; the calls must come in the order of the `encode` calls. */
  decode(coded: string): string {
    const shared = parseInt(coded.slice(0, 1), RADIX);
    this.before = this.before.slice(0, shared) + coded.slice(1);
    return this.before;
  }
}

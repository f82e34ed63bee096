/** The most characters that a name may share with the one before it. */
const LONGEST_SHARED = 35;
const RADIX = 36;

/** Writes names as how much they share with the name before (one digit to the base of 36) and the rest. */
export class FrontCoding {
  constructor(private before = '') {}

  /** The short form of the next name. */
  encode(name: string): string {
    let shared = 0;
    const longest = Math.min(LONGEST_SHARED, name.length);
    while (shared < longest && name[shared] === this.before[shared]) {
      shared += 1;
    }
    this.before = name;
    return shared.toString(RADIX) + name.slice(shared);
  }

  /** The next name of its short form. */
  decode(coded: string): string {
    const shared = parseInt(coded.slice(0, 1), RADIX);
    this.before = this.before.slice(0, shared) + coded.slice(1);
    return this.before;
  }
}

import {createHash, createHmac, timingSafeEqual} from 'node:crypto';

import {KeyBinding} from '../common/claims.js';

/** Grants: `g1.<incarnation>.<expiry>.<mac>`; a key is a grant, a dot and the caller's own suffix. */

/** How a key reads: its binding, or why it can't be one. */
export type ParsedKey = KeyBinding | {readonly kind: 'invalid'};

const PREFIX = 'g1.';
const GRANT_PATTERN =
  /^g1\.([A-Za-z0-9_-]{1,64})\.([0-9a-z]{1,10})\.([A-Za-z0-9_-]{22})\.(.+)$/s;
const INCARNATION_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const EXPIRY_RADIX = 36;
const MAC_BYTES = 16;

/** Signs grants and reads keys; the binding is part of the key, so a key never has two. */
export class GrantSigner {
  /**
   * Grants are signed with the peer key. Keys signed with a former peer key still count: otherwise
   * a key that ran before the change would look as if no instance could ever have run it.
   */
  constructor(
    private readonly peerKey: string,
    private readonly formerPeerKeys: readonly string[] = [],
  ) {}

  /** A grant of an incarnation for one client account; the expiry is in milliseconds. */
  sign(incarnation: string, expiresAt: number, clientAccount: string): string {
    if (!INCARNATION_PATTERN.test(incarnation)) {
      throw new RangeError(
        'incarnation: expected 1 to 64 of A-Z, a-z, 0-9, _ and -',
      );
    }
    const expiry = Math.floor(expiresAt).toString(EXPIRY_RADIX);
    const mac = macOf(this.peerKey, incarnation, expiry, clientAccount);
    return `${PREFIX}${incarnation}.${expiry}.${mac}`;
  }

  /** Reads a key of a client account. Whatever starts like a grant must be a valid one. */
  read(clientAccount: string, key: string): ParsedKey {
    if (!key.startsWith(PREFIX)) {
      return {kind: 'plain'};
    }
    const match = GRANT_PATTERN.exec(key);
    if (match === null) {
      return {kind: 'invalid'};
    }
    const [, incarnation, expiry, mac] = match;
    const isSigned = [this.peerKey, ...this.formerPeerKeys].some(secret =>
      sameText(mac!, macOf(secret, incarnation!, expiry!, clientAccount)),
    );
    if (!isSigned) {
      return {kind: 'invalid'};
    }
    return {
      kind: 'bound',
      incarnation: incarnation!,
      expiresAtWallMilliseconds: parseInt(expiry!, EXPIRY_RADIX),
    };
  }
}

/** The name of an account's key in memory and in the table; 256 bits, hexadecimal. */
export function hashKey(clientAccount: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([clientAccount, key]))
    .digest('hex');
}

function macOf(
  secret: string,
  incarnation: string,
  expiry: string,
  clientAccount: string,
): string {
  return createHmac('sha256', secret)
    .update(JSON.stringify(['grant', incarnation, expiry, clientAccount]))
    .digest()
    .subarray(0, MAC_BYTES)
    .toString('base64url');
}

function sameText(left: string, right: string): boolean {
  return (
    left.length === right.length &&
    timingSafeEqual(Buffer.from(left), Buffer.from(right))
  );
}

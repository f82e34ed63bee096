import {createHash, createHmac, timingSafeEqual} from 'node:crypto';

import {KeyBinding} from '../common/claimService.js';

/** Grants have the form `g1.<incarnation>.<expiry>.<mac>`; a bound key is a grant, a dot and the caller's suffix. */

/** `invalid`: the key starts like a grant, but has no valid one. */
export type ParsedKey = KeyBinding | {readonly kind: 'invalid'};

const GRANT_PREFIX = 'g1.';
const GRANT_PATTERN =
  /^g1\.([A-Za-z0-9_-]{1,64})\.([0-9a-z]{1,10})\.([A-Za-z0-9_-]{22})\.(.+)$/s;
const INCARNATION_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const EXPIRY_RADIX = 36;
const MAC_BYTES = 16;

/** Signs grants and parses keys. The binding is part of the key text, so it never changes. */
export class GrantSigner {
  /**
   * Grants are signed with the current peer key. Grants signed with a former peer key stay valid: otherwise
   * a key that ran before the rotation would be reported as never run.
   */
  constructor(
    private readonly peerKey: string,
    private readonly formerPeerKeys: readonly string[] = [],
  ) {}

  /** Signs a grant of an incarnation for a client account; `expiresAt` is in wall clock milliseconds. */
  sign(incarnation: string, expiresAt: number, clientAccount: string): string {
    if (!INCARNATION_PATTERN.test(incarnation)) {
      throw new RangeError(
        'invalid incarnation: expected 1 to 64 characters of A-Z, a-z, 0-9, _ and -',
      );
    }
    const expiry = Math.floor(expiresAt).toString(EXPIRY_RADIX);
    const mac = computeMac(this.peerKey, incarnation, expiry, clientAccount);
    return `${GRANT_PREFIX}${incarnation}.${expiry}.${mac}`;
  }

  /** Parses a key of a client account. A key that starts like a grant but has no valid one is `invalid`, not plain. */
  parseKey(clientAccount: string, key: string): ParsedKey {
    if (!key.startsWith(GRANT_PREFIX)) {
      return {kind: 'plain'};
    }
    const match = GRANT_PATTERN.exec(key);
    if (match === null) {
      return {kind: 'invalid'};
    }
    const [, incarnation, expiry, mac] = match;
    const isSigned = [this.peerKey, ...this.formerPeerKeys].some(secret =>
      isEqualInConstantTime(
        mac!,
        computeMac(secret, incarnation!, expiry!, clientAccount),
      ),
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

/** Identifies the key of a client account in memory and in the table; SHA-256 in hexadecimal. */
export function hashKey(clientAccount: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([clientAccount, key]))
    .digest('hex');
}

function computeMac(
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

function isEqualInConstantTime(left: string, right: string): boolean {
  return (
    left.length === right.length &&
    timingSafeEqual(Buffer.from(left), Buffer.from(right))
  );
}

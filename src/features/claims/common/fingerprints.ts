import {KnownKey} from './claimRecord.js';
import {ClaimDecision} from './claims.js';

/** Comparison of what keys stand for. A fingerprint is a digest of the work, a dot and the class of work. */

/** How two requests with one key compare: `otherClass` when the work is the same. */
export type FingerprintMatch = 'same' | 'otherClass' | 'otherWork';

const SEPARATOR = '.';

/** Forms a fingerprint; the digest holds no dot. */
export function formFingerprint(
  workDigest: string,
  classOfWork: string,
): string {
  return `${workDigest}${SEPARATOR}${classOfWork}`;
}

/** Compares fingerprints. Claims made before there were fingerprints have none, and match every request. */
export function matchFingerprints(
  left: string | undefined,
  right: string | undefined,
): FingerprintMatch {
  if (left === undefined || right === undefined || left === right) {
    return 'same';
  }
  return digestOf(left) === digestOf(right) ? 'otherClass' : 'otherWork';
}

/** A claim's refusal when its key stands for another request; undefined when the requests match. */
export function refuseReuse(
  known: string | undefined,
  claimed: string | undefined,
): {readonly kind: 'keyReused'; readonly sameWork: boolean} | undefined {
  const match = matchFingerprints(known, claimed);
  return match === 'same'
    ? undefined
    : {kind: 'keyReused', sameWork: match === 'otherClass'};
}

function digestOf(fingerprint: string): string {
  return fingerprint.split(SEPARATOR, 1)[0]!;
}

/** The decision on a key that was claimed before, by what is known of it. */
export function duplicateOf(
  known: KnownKey,
  fingerprint: string | undefined,
): Extract<ClaimDecision, {readonly kind: 'duplicate' | 'keyReused'}> {
  const {outcome} = known;
  return (
    refuseReuse(known.fingerprint, fingerprint) ?? {kind: 'duplicate', outcome}
  );
}

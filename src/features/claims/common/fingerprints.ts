import {KeyState} from './claimRecord.js';
import {ClaimDecision} from './claimService.js';

/** Identification of requests under a key. A fingerprint is a digest of the work, a dot and the class of work. */

/** `otherClass`: the work is the same and only the class of work differs. */
export type FingerprintMatch = 'same' | 'otherClass' | 'otherWork';

const SEPARATOR = '.';

/** The digest must not contain a dot. */
export function createFingerprint(
  workDigest: string,
  classOfWork: string,
): string {
  return `${workDigest}${SEPARATOR}${classOfWork}`;
}

/** Compares fingerprints. Claims of earlier versions have none and match any request. */
export function compareFingerprints(
  left: string | undefined,
  right: string | undefined,
): FingerprintMatch {
  if (left === undefined || right === undefined || left === right) {
    return 'same';
  }
  return workDigestOf(left) === workDigestOf(right)
    ? 'otherClass'
    : 'otherWork';
}

/** The refusal of a claim whose key belongs to a different request; undefined when the requests match. */
export function checkKeyReuse(
  known: string | undefined,
  claimed: string | undefined,
): {readonly kind: 'keyReused'; readonly sameWork: boolean} | undefined {
  const match = compareFingerprints(known, claimed);
  return match === 'same'
    ? undefined
    : {kind: 'keyReused', sameWork: match === 'otherClass'};
}

function workDigestOf(fingerprint: string): string {
  return fingerprint.split(SEPARATOR, 1)[0]!;
}

/** The decision on a key that was claimed before. */
export function decideDuplicate(
  known: KeyState,
  fingerprint: string | undefined,
): Extract<ClaimDecision, {readonly kind: 'duplicate' | 'keyReused'}> {
  const {outcome} = known;
  return (
    checkKeyReuse(known.fingerprint, fingerprint) ?? {
      kind: 'duplicate',
      outcome,
    }
  );
}

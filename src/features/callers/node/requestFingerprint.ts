import {createHash} from 'node:crypto';

import {createFingerprint} from '../../claims/common/fingerprints.js';

/** The fields that distinguish requests with the same key; the class is the only header among them. */
export interface RequestIdentity {
  readonly kind: 'chat' | 'service';
  readonly method: string;
  /** Including the query. */
  readonly path: string;
  readonly body: string;
  readonly classOfWork: string;
}

/** Fingerprints a request with SHA-256, so that the stored fingerprint doesn't reveal the content. */
export function fingerprintOf(identity: RequestIdentity): string {
  const {kind, method, path, body, classOfWork} = identity;
  const digest = createHash('sha256')
    .update(JSON.stringify([kind, method, path, body]))
    .digest('base64url');
  return createFingerprint(digest, classOfWork);
}

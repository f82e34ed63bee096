import {createHash} from 'node:crypto';

import {formFingerprint} from '../../claims/common/fingerprints.js';

/** What makes one request another than one with the same key; headers aside from the class don't. */
export interface RequestIdentity {
  readonly kind: 'chat' | 'service';
  readonly method: string;
  /** With the query. */
  readonly path: string;
  readonly body: string;
  readonly classOfWork: string;
}

/** The fingerprint of a request; SHA-256, so that a row tells nothing of the content. */
export function fingerprintOf(identity: RequestIdentity): string {
  const {kind, method, path, body, classOfWork} = identity;
  const digest = createHash('sha256')
    .update(JSON.stringify([kind, method, path, body]))
    .digest('base64url');
  return formFingerprint(digest, classOfWork);
}

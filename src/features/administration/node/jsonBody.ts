import {IncomingMessage} from 'node:http';

import {unaccountedHold} from '../../../base/common/memoryBudget.js';
import {Result, failure, success} from '../../../base/common/result.js';
import {RequestBody} from '../../../infrastructure/http/node/requestBody.js';

const BODY_LIMIT_BYTES = 1_048_576;

/** Why a body could not be read. */
interface BodyError {
  readonly status: 400 | 413;
  readonly expected: string;
}

/** Reads a JSON body of at most 1 MiB. */
export async function readJsonBody(
  request: IncomingMessage,
): Promise<Result<unknown, BodyError>> {
  const body = new RequestBody(request, BODY_LIMIT_BYTES, unaccountedHold);
  if (!(await collect(request, body))) {
    const expected = `a body of at most ${BODY_LIMIT_BYTES} bytes`;
    return failure({status: 413, expected});
  }
  try {
    return success(JSON.parse(body.bytes.toString('utf8')));
  } catch {
    return failure({status: 400, expected: 'a body in JSON'});
  }
}

/** Resolves with whether the body was received whole; rejects if the operator leaves. */
function collect(
  request: IncomingMessage,
  body: RequestBody,
): Promise<boolean> {
  return new Promise((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      if (body.add(chunk) !== 'added') {
        request.removeAllListeners('data');
        resolve(false);
        request.pause();
      }
    });
    request.once('end', () => resolve(true));
    request.once('error', reject);
    request.once('close', () => reject(new Error('the operator has left')));
  });
}

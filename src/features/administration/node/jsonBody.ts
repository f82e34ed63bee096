import {IncomingMessage} from 'node:http';

import {Result, failure, success} from '../../../base/common/result.js';

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
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > BODY_LIMIT_BYTES) {
      const expected = `a body of at most ${BODY_LIMIT_BYTES} bytes`;
      return failure({status: 413, expected});
    }
    chunks.push(bytes);
  }
  try {
    return success(JSON.parse(Buffer.concat(chunks).toString('utf8')));
  } catch {
    return failure({status: 400, expected: 'a body in JSON'});
  }
}

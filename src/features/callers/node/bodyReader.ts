import {IncomingMessage} from 'node:http';

import {failure, Result, success} from '../../../base/common/result.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {invalidRequest, notExecuted} from '../common/failureBody.js';

/**
 * Reads a request's body as UTF-8 text up to a limit; past the limit it stops reading. Resolves to
 * undefined when the caller has gone.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, RequestFailure> | undefined> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return failure(notExecuted({kind: 'tooLarge', limitBytes}));
  }
  const chunks: Buffer[] = [];
  const ending = await collect(request, limitBytes, chunks);
  switch (ending) {
    case 'whole':
      return decode(Buffer.concat(chunks));
    case 'tooLarge':
      return failure(notExecuted({kind: 'tooLarge', limitBytes}));
    default:
      return undefined;
  }
}

type BodyEnding = 'whole' | 'tooLarge' | 'callerGone';

function collect(
  request: IncomingMessage,
  limitBytes: number,
  chunks: Buffer[],
): Promise<BodyEnding> {
  return new Promise(resolve => {
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) {
        chunks.push(chunk);
        return;
      }
      request.pause();
      request.removeAllListeners('data');
      resolve('tooLarge');
    });
    request.once('end', () => resolve('whole'));
    request.once('error', () => resolve('callerGone'));
    request.once('close', () => resolve('callerGone'));
  });
}

function decode(bytes: Buffer): Result<string, RequestFailure> {
  try {
    const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});
    return success(decoder.decode(bytes));
  } catch {
    return failure(
      invalidRequest([{source: 'body', path: '$', expected: 'UTF-8 text'}]),
    );
  }
}

import {IncomingMessage} from 'node:http';

import {failure, Result, success} from '../../../base/common/result.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {invalidRequest, notExecuted} from '../common/failureBody.js';

/**
 * Reads a request body as UTF-8 text and stops reading once it exceeds the limit. Resolves to undefined
 * when the caller disconnects.
 */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, RequestFailure> | undefined> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return failure(notExecuted({kind: 'tooLarge', limitBytes}));
  }
  const chunks: Buffer[] = [];
  const outcome = await collectChunks(request, limitBytes, chunks);
  switch (outcome) {
    case 'complete':
      return decode(Buffer.concat(chunks));
    case 'tooLarge':
      return failure(notExecuted({kind: 'tooLarge', limitBytes}));
    default:
      return undefined;
  }
}

type ReadOutcome = 'complete' | 'tooLarge' | 'callerGone';

function collectChunks(
  request: IncomingMessage,
  limitBytes: number,
  chunks: Buffer[],
): Promise<ReadOutcome> {
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
    request.once('end', () => resolve('complete'));
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

import {IncomingMessage} from 'node:http';

import {unaccountedHold} from '../../../base/common/memoryBudget.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {RequestBody} from '../../../infrastructure/http/node/requestBody.js';
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
  const body = new RequestBody(request, limitBytes, unaccountedHold);
  const outcome = await collectChunks(request, body);
  switch (outcome) {
    case 'complete':
      return decode(body.bytes);
    case 'tooLarge':
      return failure(notExecuted({kind: 'tooLarge', limitBytes}));
    default:
      return undefined;
  }
}

type ReadOutcome = 'complete' | 'tooLarge' | 'callerGone';

function collectChunks(
  request: IncomingMessage,
  body: RequestBody,
): Promise<ReadOutcome> {
  return new Promise(resolve => {
    request.on('data', (chunk: Buffer) => {
      if (body.add(chunk) === 'added') {
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

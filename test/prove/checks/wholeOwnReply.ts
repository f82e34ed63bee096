import {promptTokens} from '../../../src/features/callers/common/tokenText.js';
import {expectedReply} from '../../standins/referenceModel.js';
import {expectedServiceBody} from '../../standins/serviceStandIn.js';
import {Submission, Violation} from '../observations.js';
import {serviceCallOf} from '../work.js';

/** Checks that a complete response has the expected reply to its work, and an incomplete one a prefix of it. */
export function checkWholeOwnReply(
  submissions: readonly Submission[],
  layerCount: number,
): readonly Violation[] {
  return submissions.flatMap(submission => {
    const {work, response} = submission;
    const expected = expectedText(submission, layerCount);
    const isCorrect =
      response.end === 'whole'
        ? response.text === expected
        : work.kind === 'service' || isPrefix(response.text, expected);
    const detail = `${work.businessKey}, request ${response.requestId} at ${submission.address}, ended ${response.end} with ${JSON.stringify(response.text)} instead of ${JSON.stringify(expected)}`;
    const subject = work.businessKey;
    return isCorrect ? [] : [{invariant: 'wholeOwnReply', subject, detail}];
  });
}

function expectedText({work}: Submission, layerCount: number): string {
  if (work.kind === 'service') {
    const {service, method, path} = serviceCallOf(work);
    return JSON.stringify(
      expectedServiceBody(service, method, path, work.content),
    );
  }
  const prompt = promptTokens([{role: 'user', content: work.content}]);
  const reply = expectedReply(prompt, layerCount, work.maximumOutputTokens);
  return reply.tokens.join(' ');
}

/** Compares whole tokens. */
function isPrefix(text: string, expected: string): boolean {
  return text === '' || `${expected} `.startsWith(`${text} `);
}

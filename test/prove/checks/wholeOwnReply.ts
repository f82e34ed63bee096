import {promptTokens} from '../../../src/features/callers/common/tokenText.js';
import {expectedReply} from '../../standins/referenceModel.js';
import {expectedServiceBody} from '../../standins/serviceStandIn.js';
import {Submission, Violation} from '../observations.js';
import {serviceCallOf} from '../work.js';

/** An answer that ends as a whole one is the right reply to its own work; a cut one is a beginning of it. */
export function checkWholeOwnReply(
  submissions: readonly Submission[],
  layerCount: number,
): readonly Violation[] {
  return submissions.flatMap(submission => {
    const {work, answer} = submission;
    const expected = expectedText(submission, layerCount);
    const isRight =
      answer.end === 'whole'
        ? answer.text === expected
        : work.kind === 'service' || isBeginning(answer.text, expected);
    const detail = `${work.businessKey}, request ${answer.requestId} at ${submission.address}, ended ${answer.end} with ${JSON.stringify(answer.text)} in place of ${JSON.stringify(expected)}`;
    const subject = work.businessKey;
    return isRight ? [] : [{point: 'wholeOwnReply', subject, detail}];
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

/** Whole tokens only. */
function isBeginning(text: string, expected: string): boolean {
  return text === '' || `${expected} `.startsWith(`${text} `);
}

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Finding} from '../../../base/common/finding.js';
import {failure, Result} from '../../../base/common/result.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {ModelReply, ModelRequest} from '../../requests/common/request.js';
import {ReplyLengthEstimator} from '../common/replyLengthEstimator.js';
import {createAttemptChart} from '../common/pipelineAttempt.js';
import {PipelineDriver, TokenSink} from '../common/pipelineDriver.js';
import {StepTimeouts} from '../common/stepTimeouts.js';
import {PipelineDependencies} from './pipelineDependencies.js';
import {PipelineRun} from './pipelineRun.js';
import {DriverSharedState} from './runParts.js';

/** Runs requests on engines stage by stage and recovers them when stages fail. */
export class DefaultPipelineDriver extends PipelineDriver {
  private readonly shared: DriverSharedState;

  constructor(private readonly dependencies: PipelineDependencies) {
    super();
    this.shared = {
      watch: new StepTimeouts(dependencies.settings.watch),
      estimator: new ReplyLengthEstimator(),
      chart: createAttemptChart(),
    };
  }

  override async run(
    request: ModelRequest,
    sink: TokenSink,
    token: CancellationToken,
  ): Promise<Result<ModelReply, RequestFailure>> {
    const findings = findingsOf(request);
    if (findings.length > 0) {
      return failure({
        error: {kind: 'invalidRequest', findings},
        executed: 'no',
        retryAfterMilliseconds: undefined,
        addresses: [],
      });
    }
    const {dependencies, shared} = this;
    return new PipelineRun(dependencies, shared, request, sink, token).run();
  }
}

function findingsOf(request: ModelRequest): readonly Finding[] {
  const findings: Finding[] = [];
  if (request.promptTokens.length === 0) {
    findings.push({
      source: 'request',
      path: '$.messages',
      expected: 'at least one token of prompt',
    });
  }
  if (!(request.maximumOutputTokens >= 1)) {
    findings.push({
      source: 'request',
      path: '$.max_tokens',
      expected: 'a whole number of at least 1',
    });
  }
  return findings;
}

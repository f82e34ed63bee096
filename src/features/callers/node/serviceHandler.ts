import {CancellationToken} from '../../../base/common/cancellation.js';
import {Finding} from '../../../base/common/finding.js';
import {failure, Result, success} from '../../../base/common/result.js';
import {
  ClassOfWork,
  PlainService,
} from '../../configuration/common/configuration.js';
import {RequestFailure} from '../../requests/common/failure.js';
import {isCallRepeatable} from '../../services/common/repeatability.js';
import {missingKeyFinding} from '../common/callerHeaders.js';
import {ResponseContent} from '../common/claimActions.js';
import {invalidRequest, notExecuted} from '../common/failureBody.js';
import {BufferedFormat} from '../common/replyFormat.js';
import {readServiceTarget} from '../common/serviceTarget.js';
import {ServiceCallRequest} from '../common/serviceDispatcher.js';
import {fingerprintOf} from './requestFingerprint.js';
import {ExchangePlan} from './requestExchange.js';
import {WorkHandler, WorkInput} from './workHandler.js';

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/** `/v1/services/{service}/...`: repeatable and non-repeatable calls to plain services. */
export class ServiceHandler extends WorkHandler {
  protected override readonly name = 'service';

  protected override plan(
    input: WorkInput,
  ): Result<ExchangePlan, RequestFailure> {
    const target = readServiceTarget(input.url);
    if (!target.ok) {
      return failure(
        invalidRequest([...input.headers.findings, ...target.error]),
      );
    }
    const {service: serviceName, path} = target.value;
    const {services} = input.configuration;
    if (!Object.hasOwn(services, serviceName)) {
      return failure(notExecuted({kind: 'notFound', what: 'such service'}));
    }
    return this.planCall(input, services[serviceName]!, path);
  }

  private planCall(
    input: WorkInput,
    service: PlainService,
    path: string,
  ): Result<ExchangePlan, RequestFailure> {
    const {classOfWork, idempotencyKey} = input.headers;
    const repeatable =
      (classOfWork?.repeatable ?? true) &&
      isCallRepeatable(service, input.method, path);
    const findings: Finding[] = [...input.headers.findings];
    if (!repeatable && !input.headers.hasKey) {
      findings.push(missingKeyFinding());
    }
    if (classOfWork === undefined || findings.length > 0) {
      return failure(invalidRequest(findings));
    }
    return success(
      this.createPlan({
        requestId: input.requestId,
        service: service.name,
        method: input.method,
        path,
        contentType: input.headers.contentType,
        body: input.body,
        idempotencyKey,
        fingerprint:
          idempotencyKey === undefined
            ? undefined
            : callFingerprint(input, service, path, classOfWork),
        clientAccount: input.account.name,
        classOfWork,
        repeatable,
        deadlineAt: this.deadlineAt(input, classOfWork),
      }),
    );
  }

  private createPlan(request: ServiceCallRequest): ExchangePlan {
    return {
      claimedKey: this.claimedKey({
        ...request,
        fingerprint: () => request.fingerprint ?? '',
      }),
      deadlineAt: request.deadlineAt,
      format: new BufferedFormat(),
      work: (_sink, token) => this.run(request, token),
    };
  }

  private async run(
    request: ServiceCallRequest,
    token: CancellationToken,
  ): Promise<Result<ResponseContent, RequestFailure>> {
    const response = await this.services.dispatcher.dispatch(request, token);
    if (!response.ok) {
      return response;
    }
    const {status, contentType, body} = response.value;
    return success({
      status,
      contentType: contentType ?? DEFAULT_CONTENT_TYPE,
      body,
    });
  }
}

function callFingerprint(
  input: WorkInput,
  service: PlainService,
  path: string,
  classOfWork: ClassOfWork,
): string {
  return fingerprintOf({
    kind: 'service',
    method: input.method,
    path: `${service.name}${path}`,
    body: input.body,
    classOfWork: classOfWork.name,
  });
}

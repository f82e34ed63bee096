import {
  IncomingMessage,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';

import restana from 'restana';

import {CancellationToken} from '../../../base/common/cancellation.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {
  Configuration,
  ConfigurationRevision,
  ProposalResult,
} from '../../configuration/common/configuration.js';
import {
  Proposal,
  parseProposal,
} from '../../configuration/common/operationSchemas.js';
import {Handover} from '../../peers/common/peerExchanger.js';
import {ApiAnswer, toAnswer} from '../common/proposalAnswer.js';
import {
  findingsOfValue,
  proposalToRemove,
  proposalToSet,
  sections,
} from '../common/sections.js';
import {readJsonBody} from './jsonBody.js';
import {OperatorKeys} from './operatorKeys.js';

/** What the API asks of the rest of the program. */
export interface AdministrationBackend {
  configuration(): Configuration;
  status(): unknown;
  /** Whether this instance serves. */
  isServing(): boolean;
  /** Undefined when the table can't be read. */
  readLog(
    after: number,
    token: CancellationToken,
  ): Promise<readonly ConfigurationRevision[] | undefined>;
  propose(
    proposal: Proposal,
    operator: string,
    token: CancellationToken,
  ): Promise<{
    readonly result: ProposalResult;
    readonly handover: Handover | undefined;
  }>;
}

type Request = IncomingMessage & {
  readonly params: Record<string, string>;
  readonly query: Record<string, string | string[]>;
};
type Handler = (request: Request, operator: string) => Promise<ApiAnswer>;

const NOT_FOUND: ApiAnswer = {status: 404, body: {kind: 'notFound'}};
const UNAUTHENTICATED: ApiAnswer = {
  status: 401,
  body: {kind: 'unauthenticated', expected: 'Authorization: Bearer <key>'},
};
const CONFIGURATION_PATH = '/v1/configuration';
const REVISIONS_PATH = '/v1/configuration/revisions';

/** The administration API under `/v1`. */
export class AdministrationApi {
  private readonly service = restana({
    server: new Server(),
    defaultRoute: (_request, response) => send(response, NOT_FOUND),
  });

  constructor(
    private readonly backend: AdministrationBackend,
    private readonly keys: OperatorKeys,
    private readonly logger: Logger,
    private readonly token: CancellationToken,
  ) {
    this.addConfiguration();
    this.addSections();
    this.addStatus();
  }

  /** Answers requests; for a server that other protocols share. */
  readonly listener: RequestListener = (request, response) =>
    this.service.handle(
      request as Parameters<typeof this.service.handle>[0],
      response as Parameters<typeof this.service.handle>[1],
    );

  private addConfiguration(): void {
    this.route('get', CONFIGURATION_PATH, async () => ({
      status: 200,
      body: this.backend.configuration(),
    }));
    this.route('get', REVISIONS_PATH, request => this.revisions(request));
    this.route('post', REVISIONS_PATH, async (request, operator) => {
      const body = await readJsonBody(request);
      return body.ok
        ? this.propose(body.value, operator)
        : invalidBody(body.error.status, body.error.expected);
    });
  }

  private addSections(): void {
    for (const section of sections) {
      const path = `/v1/${section.name}`;
      const entries = () => this.backend.configuration()[section.name];
      this.route('get', path, async () => ({status: 200, body: entries()}));
      this.route('get', `${path}/:name`, async request => {
        const name = nameOf(request);
        const isKnown = Object.hasOwn(entries(), name);
        return isKnown ? {status: 200, body: entries()[name]} : NOT_FOUND;
      });
      this.route('put', `${path}/:name`, async (request, operator) => {
        const body = await readJsonBody(request);
        return body.ok
          ? this.propose(
              proposalToSet(section, nameOf(request), body.value),
              operator,
            )
          : invalidBody(body.error.status, body.error.expected);
      });
      this.route('delete', `${path}/:name`, (request, operator) =>
        this.propose(proposalToRemove(section, nameOf(request)), operator),
      );
    }
  }

  private addStatus(): void {
    this.route('get', '/v1/status', async () => ({
      status: 200,
      body: this.backend.status(),
    }));
    this.service.get('/v1/health', (_request, response) => {
      const isServing = this.backend.isServing();
      const status = isServing ? 200 : 503;
      send(response, {status, body: {serving: isServing}});
    });
  }

  private async revisions(request: Request): Promise<ApiAnswer> {
    const after = Number(request.query['after'] ?? 0);
    if (!Number.isSafeInteger(after) || after < 0) {
      return invalid('query', '$.after', 'a revision number of 0 or more');
    }
    const revisions = await this.backend.readLog(after, this.token);
    return revisions === undefined
      ? {status: 503, body: {kind: 'unavailable'}}
      : {status: 200, body: {revisions}};
  }

  private async propose(body: unknown, operator: string): Promise<ApiAnswer> {
    const proposal = parseProposal(body, 'body');
    if (!proposal.ok) {
      const findings = findingsOfValue(proposal.error);
      return {
        status: 400,
        body: {accepted: 'no', kind: 'invalid', findings},
      };
    }
    const report = await this.backend.propose(
      proposal.value,
      operator,
      this.token,
    );
    const answer = toAnswer(report.result, report.handover);
    this.logger.info('proposal', {operator, status: answer.status});
    return answer;
  }

  private route(
    method: 'get' | 'post' | 'put' | 'delete',
    path: string,
    handler: Handler,
  ): void {
    this.service[method](path, async (request, response) => {
      const operator = this.keys.find(request.headers.authorization);
      if (operator === undefined) {
        send(response, UNAUTHENTICATED);
        return;
      }
      try {
        send(response, await handler(request as Request, operator));
      } catch (error) {
        this.logger.error('administration request failed', {
          path,
          detail: error instanceof Error ? error.message : String(error),
        });
        send(response, {status: 500, body: {kind: 'internal'}});
      }
    });
  }
}

function nameOf(request: Request): string {
  return decodeURIComponent(request.params['name'] ?? '');
}

function invalidBody(status: number, expected: string): ApiAnswer {
  return {...invalid('body', '$', expected), status};
}

function invalid(source: string, path: string, expected: string): ApiAnswer {
  const findings = [{source, path, expected}];
  return {status: 400, body: {accepted: 'no', kind: 'invalid', findings}};
}

function send(response: ServerResponse, answer: ApiAnswer): void {
  const text = JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

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
import {NoticeCoverage} from '../../peers/common/peerExchanger.js';
import {ApiResponse, toProposalResponse} from '../common/proposalResponse.js';
import {
  toValueFindings,
  createRemoveProposal,
  createSetProposal,
  sections,
} from '../common/sections.js';
import {readJsonBody} from './jsonBody.js';
import {OperatorKeys} from './operatorKeys.js';

/** The operations of the control program that the API exposes. */
export interface AdministrationBackend {
  configuration(): Configuration;
  status(): unknown;
  /** Whether this instance accepts requests, as reported by `/v1/health`. */
  isServing(): boolean;
  /** Revisions after a revision number; undefined when the table cannot be read. */
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
    readonly handover: NoticeCoverage | undefined;
  }>;
}

type Request = IncomingMessage & {
  readonly params: Record<string, string>;
  readonly query: Record<string, string | string[]>;
};
type Handler = (request: Request, operator: string) => Promise<ApiResponse>;

const NOT_FOUND: ApiResponse = {status: 404, body: {kind: 'notFound'}};
const UNAUTHENTICATED: ApiResponse = {
  status: 401,
  body: {kind: 'unauthenticated', expected: 'Authorization: Bearer <key>'},
};
const CONFIGURATION_PATH = '/v1/configuration';
const REVISIONS_PATH = '/v1/configuration/revisions';

/** The administration API under `/v1`. */
export class AdministrationApi {
  private readonly service = restana({
    server: new Server(),
    defaultRoute: (_request, response) => sendResponse(response, NOT_FOUND),
  });

  constructor(
    private readonly backend: AdministrationBackend,
    private readonly keys: OperatorKeys,
    private readonly logger: Logger,
    private readonly token: CancellationToken,
  ) {
    this.addConfigurationRoutes();
    this.addSectionRoutes();
    this.addStatusRoutes();
  }

  /** Request listener for a server that also serves other protocols. */
  readonly listener: RequestListener = (request, response) =>
    this.service.handle(
      request as Parameters<typeof this.service.handle>[0],
      response as Parameters<typeof this.service.handle>[1],
    );

  private addConfigurationRoutes(): void {
    this.route('get', CONFIGURATION_PATH, async () => ({
      status: 200,
      body: this.backend.configuration(),
    }));
    this.route('get', REVISIONS_PATH, request => this.revisions(request));
    this.route('post', REVISIONS_PATH, async (request, operator) => {
      const body = await readJsonBody(request);
      return body.ok
        ? this.propose(body.value, operator)
        : invalidBodyResponse(body.error.status, body.error.expected);
    });
  }

  private addSectionRoutes(): void {
    for (const section of sections) {
      const path = `/v1/${section.name}`;
      const entries = () => this.backend.configuration()[section.name];
      this.route('get', path, async () => ({status: 200, body: entries()}));
      this.route('get', `${path}/:name`, async request => {
        const name = entryNameOf(request);
        const exists = Object.hasOwn(entries(), name);
        return exists ? {status: 200, body: entries()[name]} : NOT_FOUND;
      });
      this.route('put', `${path}/:name`, async (request, operator) => {
        const body = await readJsonBody(request);
        return body.ok
          ? this.propose(
              createSetProposal(section, entryNameOf(request), body.value),
              operator,
            )
          : invalidBodyResponse(body.error.status, body.error.expected);
      });
      this.route('delete', `${path}/:name`, (request, operator) =>
        this.propose(
          createRemoveProposal(section, entryNameOf(request)),
          operator,
        ),
      );
    }
  }

  private addStatusRoutes(): void {
    this.route('get', '/v1/status', async () => ({
      status: 200,
      body: this.backend.status(),
    }));
    this.service.get('/v1/health', (_request, response) => {
      const isServing = this.backend.isServing();
      const status = isServing ? 200 : 503;
      sendResponse(response, {status, body: {serving: isServing}});
    });
  }

  private async revisions(request: Request): Promise<ApiResponse> {
    const after = Number(request.query['after'] ?? 0);
    if (!Number.isSafeInteger(after) || after < 0) {
      return invalidResponse(
        'query',
        '$.after',
        'a revision number of 0 or more',
      );
    }
    const revisions = await this.backend.readLog(after, this.token);
    return revisions === undefined
      ? {status: 503, body: {kind: 'unavailable'}}
      : {status: 200, body: {revisions}};
  }

  private async propose(body: unknown, operator: string): Promise<ApiResponse> {
    const proposal = parseProposal(body, 'body');
    if (!proposal.ok) {
      const findings = toValueFindings(proposal.error);
      return {
        status: 400,
        body: {accepted: 'no', kind: 'invalid', findings},
      };
    }
    const outcome = await this.backend.propose(
      proposal.value,
      operator,
      this.token,
    );
    const response = toProposalResponse(outcome.result, outcome.handover);
    this.logger.info('proposal', {operator, status: response.status});
    return response;
  }

  private route(
    method: 'get' | 'post' | 'put' | 'delete',
    path: string,
    handler: Handler,
  ): void {
    this.service[method](path, async (request, response) => {
      const operator = this.keys.findOperator(request.headers.authorization);
      if (operator === undefined) {
        sendResponse(response, UNAUTHENTICATED);
        return;
      }
      try {
        sendResponse(response, await handler(request as Request, operator));
      } catch (error) {
        this.logger.error('administration request failed', {
          path,
          detail: error instanceof Error ? error.message : String(error),
        });
        sendResponse(response, {status: 500, body: {kind: 'internal'}});
      }
    });
  }
}

function entryNameOf(request: Request): string {
  return decodeURIComponent(request.params['name'] ?? '');
}

function invalidBodyResponse(status: number, expected: string): ApiResponse {
  return {...invalidResponse('body', '$', expected), status};
}

function invalidResponse(
  source: string,
  path: string,
  expected: string,
): ApiResponse {
  const findings = [{source, path, expected}];
  return {status: 400, body: {accepted: 'no', kind: 'invalid', findings}};
}

function sendResponse(
  response: ServerResponse,
  apiResponse: ApiResponse,
): void {
  const text = JSON.stringify(apiResponse.body);
  response.writeHead(apiResponse.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

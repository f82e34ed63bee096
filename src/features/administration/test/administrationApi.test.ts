import {createHash} from 'node:crypto';
import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {neverCancelled} from '../../../base/common/cancellation.js';
import {failure, success} from '../../../base/common/result.js';
import {
  LogFields,
  SilentLogger,
} from '../../../infrastructure/logging/common/logger.js';
import {
  emptyConfiguration,
  ProposalError,
} from '../../configuration/common/configuration.js';
import {Proposal} from '../../configuration/common/operationSchemas.js';
import {NoticeCoverage} from '../../peers/common/peerExchanger.js';
import {
  AdministrationApi,
  AdministrationBackend,
} from '../node/administrationApi.js';
import {OperatorKeys} from '../node/operatorKeys.js';

const KEY = 'a-secret-operator-key';
const model = {name: 'm', version: '1', layerCount: 8, adapters: []};

class RecordingLogger extends SilentLogger {
  readonly lines: string[] = [];

  override info(message?: string, fields?: LogFields): void {
    this.lines.push(JSON.stringify({message, ...fields}));
  }
}

class FakeBackend implements AdministrationBackend {
  error: ProposalError | undefined;
  handover: NoticeCoverage = {acknowledged: 3, listed: 3};
  isLogReadable = true;
  readonly proposals: Array<{proposal: Proposal; operator: string}> = [];

  configuration() {
    return {...emptyConfiguration, revision: 4, models: {m: model}};
  }

  status() {
    return {revision: 4};
  }

  isServing() {
    return false;
  }

  async readLog() {
    return this.isLogReadable ? [] : undefined;
  }

  async propose(proposal: Proposal, operator: string) {
    this.proposals.push({proposal, operator});
    const {operations} = proposal;
    const revision = {
      revision: 5,
      operations,
      operator,
      nonce: 'n',
      committedAtWallMilliseconds: 0,
    };
    return {
      result:
        this.error === undefined ? success(revision) : failure(this.error),
      handover: this.handover,
    };
  }
}

let backend: FakeBackend;
let server: Server;
let url: string;
const logger = new RecordingLogger();

beforeAll(async () => {
  backend = new FakeBackend();
  const hash = createHash('sha256').update(KEY).digest('hex');
  const keys = new OperatorKeys({ana: hash});
  const api = new AdministrationApi(backend, keys, logger, neverCancelled);
  server = createServer(api.listener);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.close();
  server.closeAllConnections();
});

interface JsonResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function sendRequest(
  method: string,
  path: string,
  body?: string,
  key = KEY,
): Promise<JsonResponse> {
  const headers = {authorization: `Bearer ${key}`};
  const response = await fetch(url + path, {
    method,
    headers,
    ...(body === undefined ? {} : {body}),
  });
  return {
    status: response.status,
    body: (await response.json()) as Record<string, unknown>,
  };
}

const setModel = JSON.stringify({
  operations: [{kind: 'setModel', value: model}],
});
const REVISIONS = '/v1/configuration/revisions';

describe('the administration API', () => {
  it.each([
    {
      method: 'GET',
      path: '/v1/configuration',
      status: 200,
      expectedBody: {revision: 4},
    },
    {method: 'GET', path: '/v1/models', status: 200, expectedBody: {m: model}},
    {method: 'GET', path: '/v1/models/m', status: 200, expectedBody: model},
    {
      method: 'GET',
      path: '/v1/models/toString',
      status: 404,
      expectedBody: {kind: 'notFound'},
    },
    {
      method: 'GET',
      path: '/v1/status',
      status: 200,
      expectedBody: {revision: 4},
    },
    {
      method: 'GET',
      path: '/v1/health',
      status: 503,
      expectedBody: {serving: false},
    },
    {
      method: 'GET',
      path: '/v1/other',
      status: 404,
      expectedBody: {kind: 'notFound'},
    },
    {
      method: 'GET',
      path: `${REVISIONS}?after=2`,
      status: 200,
      expectedBody: {revisions: []},
    },
    {
      method: 'GET',
      path: `${REVISIONS}?after=x`,
      status: 400,
      expectedBody: {kind: 'invalid'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: setModel,
      status: 201,
      expectedBody: {revision: 5, operator: 'ana'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: '{',
      status: 400,
      expectedBody: {accepted: 'no'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: `"${'x'.repeat(1_100_000)}"`,
      status: 413,
      expectedBody: {accepted: 'no'},
    },
    {
      method: 'PUT',
      path: '/v1/models/m',
      body: JSON.stringify(model),
      status: 201,
      expectedBody: {revision: 5},
    },
    {
      method: 'PUT',
      path: '/v1/models/m',
      body: '[]',
      status: 400,
      expectedBody: {accepted: 'no'},
    },
    {
      method: 'DELETE',
      path: '/v1/models/m',
      status: 201,
      expectedBody: {revision: 5},
    },
  ])(
    '$method $path returns $status',
    async ({method, path, body, status, expectedBody}) => {
      const response = await sendRequest(method, path, body);
      expect(response.status).toBe(status);
      expect(response.body).toMatchObject(expectedBody);
    },
  );

  it('reports finding paths relative to the submitted value', async () => {
    const body = JSON.stringify({...model, layerCount: 0, weight: 1});
    const response = await sendRequest('PUT', '/v1/models/m', body);
    const findings = response.body['findings'] as Array<{path: string}>;
    expect(findings.map(finding => finding.path)).toEqual([
      '$.layerCount',
      '$.weight',
    ]);
  });

  const errors: ReadonlyArray<readonly [ProposalError, number, string]> = [
    [{kind: 'invalid', findings: []}, 400, 'no'],
    [{kind: 'conflict', winningRevision: 4, operator: 'luz'}, 409, 'no'],
    [{kind: 'unavailable', detail: 'down'}, 503, 'no'],
    [{kind: 'outcomeUnknown', nonce: 'n'}, 202, 'unknown'],
  ];

  it.each(errors)(
    'reports the proposal error %j',
    async (error, status, accepted) => {
      backend.error = error;
      const response = await sendRequest('POST', REVISIONS, setModel);
      backend.error = undefined;
      expect(response).toMatchObject({status, body: {accepted, ...error}});
    },
  );

  it('reports a committed revision as pending while less than a majority has received it', async () => {
    backend.handover = {acknowledged: 1, listed: 3};
    const response = await sendRequest('POST', REVISIONS, setModel);
    expect(response).toMatchObject({
      status: 202,
      body: {accepted: 'pending', instancesInformed: 1},
    });
  });

  it('refuses unknown keys, and records and logs the operator but not the key', async () => {
    const count = backend.proposals.length;
    expect(
      (await sendRequest('POST', REVISIONS, setModel, 'wrong')).status,
    ).toBe(401);
    expect((await sendRequest('GET', '/v1/status', undefined, '')).status).toBe(
      401,
    );
    expect(backend.proposals).toHaveLength(count);
    await sendRequest('POST', REVISIONS, setModel);
    expect(backend.proposals.at(-1)?.operator).toBe('ana');
    expect(logger.lines.join()).toContain('ana');
    expect(logger.lines.join()).not.toContain(KEY);
  });
});

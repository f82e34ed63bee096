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
import {Handover} from '../../peers/common/peerExchanger.js';
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
  handover: Handover = {acknowledged: 3, listed: 3};
  logReadable = true;
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
    return this.logReadable ? [] : undefined;
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

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

async function call(
  method: string,
  path: string,
  body?: string,
  key = KEY,
): Promise<Answer> {
  const headers = {authorization: `Bearer ${key}`};
  const answer = await fetch(url + path, {
    method,
    headers,
    ...(body === undefined ? {} : {body}),
  });
  return {
    status: answer.status,
    body: (await answer.json()) as Record<string, unknown>,
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
      shows: {revision: 4},
    },
    {method: 'GET', path: '/v1/models', status: 200, shows: {m: model}},
    {method: 'GET', path: '/v1/models/m', status: 200, shows: model},
    {
      method: 'GET',
      path: '/v1/models/toString',
      status: 404,
      shows: {kind: 'notFound'},
    },
    {method: 'GET', path: '/v1/status', status: 200, shows: {revision: 4}},
    {method: 'GET', path: '/v1/health', status: 503, shows: {serving: false}},
    {method: 'GET', path: '/v1/other', status: 404, shows: {kind: 'notFound'}},
    {
      method: 'GET',
      path: `${REVISIONS}?after=2`,
      status: 200,
      shows: {revisions: []},
    },
    {
      method: 'GET',
      path: `${REVISIONS}?after=x`,
      status: 400,
      shows: {kind: 'invalid'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: setModel,
      status: 201,
      shows: {revision: 5, operator: 'ana'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: '{',
      status: 400,
      shows: {accepted: 'no'},
    },
    {
      method: 'POST',
      path: REVISIONS,
      body: `"${'x'.repeat(1_100_000)}"`,
      status: 413,
      shows: {accepted: 'no'},
    },
    {
      method: 'PUT',
      path: '/v1/models/m',
      body: JSON.stringify(model),
      status: 201,
      shows: {revision: 5},
    },
    {
      method: 'PUT',
      path: '/v1/models/m',
      body: '[]',
      status: 400,
      shows: {accepted: 'no'},
    },
    {method: 'DELETE', path: '/v1/models/m', status: 201, shows: {revision: 5}},
  ])('$method $path: $status', async ({method, path, body, status, shows}) => {
    const answer = await call(method, path, body);
    expect(answer.status).toBe(status);
    expect(answer.body).toMatchObject(shows);
  });

  it('names the field as the operator sent it', async () => {
    const body = JSON.stringify({...model, layerCount: 0, weight: 1});
    const answer = await call('PUT', '/v1/models/m', body);
    const findings = answer.body['findings'] as Array<{path: string}>;
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

  it.each(errors)('answers %j', async (error, status, accepted) => {
    backend.error = error;
    const answer = await call('POST', REVISIONS, setModel);
    backend.error = undefined;
    expect(answer).toMatchObject({status, body: {accepted, ...error}});
  });

  it('says when fewer than a majority know of a committed change', async () => {
    backend.handover = {acknowledged: 1, listed: 3};
    const answer = await call('POST', REVISIONS, setModel);
    expect(answer).toMatchObject({
      status: 202,
      body: {accepted: 'pending', instancesInformed: 1},
    });
  });

  it('refuses unknown keys, records the operator and logs no key', async () => {
    const count = backend.proposals.length;
    expect((await call('POST', REVISIONS, setModel, 'wrong')).status).toBe(401);
    expect((await call('GET', '/v1/status', undefined, '')).status).toBe(401);
    expect(backend.proposals).toHaveLength(count);
    await call('POST', REVISIONS, setModel);
    expect(backend.proposals.at(-1)?.operator).toBe('ana');
    expect(logger.lines.join()).toContain('ana');
    expect(logger.lines.join()).not.toContain(KEY);
  });
});

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {exitCodes} from '../exitCodes.js';
import {TARGETS_ONLY} from '../refusedOptions.js';
import {runRedwing} from '../runRedwing.js';
import {Script, ScriptedApi} from './scriptedApi.js';

/** The operators' command line against an administration API that answers from a script. */

const REVISIONS = 'POST /v1/configuration/revisions';
const AFTER_7 = 'GET /v1/configuration/revisions?after=7';
const OPERATOR_KEY = 'operator-key';

const dispatch = {
  name: 'dispatch',
  firstTokenMilliseconds: 500,
  betweenTokensMilliseconds: 60,
  deadlineMilliseconds: 5000,
  requestsPerSecond: 20,
  repeatable: false,
};

const configuration = {
  revision: 7,
  classes: {dispatch},
  clientAccounts: {},
  models: {},
  services: {},
};

const changed = [
  {kind: 'setClass', value: {...dispatch, deadlineMilliseconds: 4000}},
];

const readable: Script = {
  'GET /v1/configuration': [{status: 200, body: configuration}],
};

const accepted = {
  accepted: 'yes',
  revision: 8,
  operator: 'ana',
  nonce: 'n',
  instancesInformed: 3,
  instancesListed: 3,
};

function revision(operations: unknown, operator = 'ana'): unknown {
  return {
    revision: 8,
    operations,
    operator,
    nonce: 'n',
    committedAtWallMilliseconds: 0,
  };
}

interface Case {
  readonly name: string;
  readonly words: readonly string[];
  readonly script: Script;
  readonly exitCode: number;
  readonly stdout?: string;
  readonly stderr?: string;
  /** Times that a change may have been sent; 0 when not given. */
  readonly submissions?: number;
}

const setDeadline = [
  'class',
  'set',
  'dispatch',
  '--deadline-milliseconds',
  '4000',
];

const cases: readonly Case[] = [
  {
    name: 'lists classes as a table',
    words: ['class', 'list'],
    script: readable,
    exitCode: exitCodes.done,
    stdout: 'dispatch  500 ',
  },
  {
    name: 'lists classes as JSON',
    words: ['class', 'list', '--json'],
    script: readable,
    exitCode: exitCodes.done,
    stdout: '"firstTokenMilliseconds": 500',
  },
  {
    name: 'changes one target and keeps the others',
    words: setDeadline,
    script: {...readable, [REVISIONS]: [{status: 201, body: accepted}]},
    exitCode: exitCodes.done,
    stdout: 'accepted as revision 8 (3 of 3 instances have it)',
    submissions: 1,
  },
  {
    name: 'names every missing target of a new class',
    words: ['class', 'set', 'quotes', '--deadline-milliseconds=-4'],
    script: readable,
    exitCode: exitCodes.invalid,
    stderr: '--requests-per-second',
  },
  ...['--weight=3', '--weights', '--address', '--upstream'].map(option => ({
    name: `refuses ${option}`,
    words: ['class', 'set', 'dispatch', option],
    script: {},
    exitCode: exitCodes.usage,
    stderr: TARGETS_ONLY,
  })),
  {
    name: 'refuses an unknown option',
    words: ['class', 'set', 'dispatch', '--deadlne', '3'],
    script: {},
    exitCode: exitCodes.usage,
    stderr: '--deadlne',
  },
  {
    name: 'reports a conflict with the winner',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: [
        {
          status: 409,
          body: {
            accepted: 'no',
            kind: 'conflict',
            winningRevision: 8,
            operator: 'luz',
          },
        },
      ],
    },
    exitCode: exitCodes.conflict,
    stderr: 'revision 8 by luz came first',
    submissions: 1,
  },
  {
    name: 'reports a refused key',
    words: ['status'],
    script: {
      'GET /v1/status': [{status: 401, body: {kind: 'unauthenticated'}}],
    },
    exitCode: exitCodes.unauthenticated,
    stderr: 'refused',
  },
  {
    name: 'reports an outage as not accepted',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: [
        {
          status: 503,
          body: {accepted: 'no', kind: 'unavailable', detail: 'table down'},
        },
      ],
    },
    exitCode: exitCodes.unavailable,
    stderr: 'nothing was changed: table down',
    submissions: 1,
  },
  {
    name: 'reads back a lost answer: accepted',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: ['cut'],
      [AFTER_7]: [{status: 200, body: {revisions: [revision(changed)]}}],
    },
    exitCode: exitCodes.done,
    stdout: 'accepted as revision 8',
    submissions: 1,
  },
  {
    name: 'reads back a lost answer: another change won',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: ['cut'],
      [AFTER_7]: [{status: 200, body: {revisions: [revision([], 'luz')]}}],
    },
    exitCode: exitCodes.conflict,
    stderr: 'by luz',
    submissions: 1,
  },
  {
    name: 'reads back a lost answer: still unknown',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: ['cut'],
      [AFTER_7]: [{status: 200, body: {revisions: []}}],
    },
    exitCode: exitCodes.outcomeUnknown,
    stderr: 'not known whether the change was accepted',
    submissions: 1,
  },
  {
    name: 'reads back when the control program does not know',
    words: setDeadline,
    script: {
      ...readable,
      [REVISIONS]: [{status: 202, body: {accepted: 'unknown', nonce: 'n'}}],
      [AFTER_7]: [
        {status: 503, body: {}},
        {status: 200, body: {revisions: [revision(changed)]}},
      ],
    },
    exitCode: exitCodes.done,
    stdout: 'accepted as revision 8',
    submissions: 1,
  },
  {
    name: 'removes nothing that is not there',
    words: ['class', 'remove', 'quotes'],
    script: readable,
    exitCode: exitCodes.notFound,
    stderr: 'there is no quotes',
  },
  {
    name: 'shows history',
    words: ['config', 'history', '--after', '7'],
    script: {
      [AFTER_7]: [{status: 200, body: {revisions: [revision(changed)]}}],
    },
    exitCode: exitCodes.done,
    stdout: 'setClass dispatch',
  },
  {
    name: 'shows the status with one column for each field of a member',
    words: ['status'],
    script: {
      'GET /v1/status': [
        {
          status: 200,
          body: {
            standing: {kind: 'serving'},
            instances: [{member: {id: 'a', region: 'north'}, ready: true}],
          },
        },
      ],
    },
    exitCode: exitCodes.done,
    stdout:
      'field     value\nstanding  kind=serving\n\ninstances\nid  region  ready\na   north   true\n',
  },
  {
    name: 'checks its settings',
    words: ['check-settings'],
    script: {},
    exitCode: exitCodes.done,
    stdout: 'in order',
  },
];

interface Run {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

describe('redwing', () => {
  let folder: string;

  beforeAll(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'redwing-'));
    writeFileSync(path.join(folder, 'key'), `${OPERATOR_KEY}\n`);
  });

  afterAll(() => rmSync(folder, {recursive: true}));

  function writeFile(name: string, content: unknown): string {
    const file = path.join(folder, name);
    writeFileSync(file, JSON.stringify(content));
    return file;
  }

  async function run(
    words: readonly string[],
    addresses: readonly string[],
  ): Promise<Run> {
    const settings = writeFile('settings.json', {
      controlAddresses: addresses,
      operatorKeyFile: path.join(folder, 'key'),
      timeoutSeconds: 5,
    });
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const line = [...words, '--settings', settings];
    const exitCode = await runRedwing(line, {stdout, stderr});
    return {
      exitCode,
      stdout: String(stdout.read() ?? ''),
      stderr: String(stderr.read() ?? ''),
    };
  }

  it.each(cases)('$name', async one => {
    const api = new ScriptedApi(one.script);
    const address = await api.listen();
    const result = await run(one.words, [address]);
    api.close();
    expect(result.stderr).toContain(one.stderr ?? '');
    expect(result.stdout).toContain(one.stdout ?? '');
    expect(result.exitCode).toBe(one.exitCode);
    const sent = api.received.filter(call => call.call === REVISIONS);
    expect(sent.length).toBe(one.submissions ?? 0);
    for (const {body} of sent) {
      expect(body).toEqual({operations: changed, expectedRevision: 7});
    }
    expect(result.stderr + result.stdout).not.toContain(OPERATOR_KEY);
  });

  it('uses the next address when one refuses connections', async () => {
    const gone = new ScriptedApi({});
    const goneAddress = await gone.listen();
    gone.close();
    const api = new ScriptedApi(readable);
    const address = await api.listen();
    const result = await run(['class', 'list'], [goneAddress, address]);
    const alone = await run(['class', 'list'], [goneAddress]);
    api.close();
    expect(result.exitCode).toBe(exitCodes.done);
    expect(api.received[0].authorization).toBe(`Bearer ${OPERATOR_KEY}`);
    expect(alone.exitCode).toBe(exitCodes.unavailable);
  });

  it('reports all findings of a file of changes together', async () => {
    const file = writeFile('change.json', {
      operations: [
        {kind: 'setClass', value: {...dispatch, deadlineMilliseconds: -1}},
        {kind: 'setClass', value: {...dispatch, weight: 3}},
        {kind: 'setModel', value: {name: 'm', addresses: ['10.0.0.1:1']}},
      ],
    });
    const result = await run(['config', 'apply', file], ['127.0.0.1:1']);
    expect(result.exitCode).toBe(exitCodes.invalid);
    const lines = result.stderr.split('\n').join(' ');
    for (const place of [
      '$.operations[0].value.deadlineMilliseconds: milliseconds above 0',
      '$.operations[1].value.weight: no such field: operators state targets only',
      '$.operations[2].value.version',
      '$.operations[2].value.layerCount',
      '$.operations[2].value.addresses: no such field: operators state targets only',
    ]) {
      expect(lines).toContain(`${file} ${place}`);
    }
  });
});

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

type Case = readonly [
  name: string,
  words: string,
  script: Script,
  exitCode: number,
  output: {readonly stdout?: string; readonly stderr?: string},
];

type Answers = Script[string];

/** Answers one change, and what is then asked for the revisions after 7. */
function changing(answer: Answers[number], ...after: Answers): Script {
  const changes = {...readable, [REVISIONS]: [answer]};
  return after.length === 0 ? changes : {...changes, [AFTER_7]: after};
}

function listing(...revisions: readonly unknown[]): Answers[number] {
  return {status: 200, body: {revisions}};
}

const setDeadline = 'class set dispatch --deadline-milliseconds 4000';
const badClass = 'class set quotes --deadline-milliseconds=-4';
const {done, conflict, invalid, usage} = exitCodes;
const accepting = changing({status: 201, body: accepted});
const lost = {accepted: 'no', kind: 'conflict', winningRevision: 8};
const losing = changing({status: 409, body: {...lost, operator: 'luz'}});
const tableDown = {accepted: 'no', kind: 'unavailable', detail: 'table down'};
const outage = changing({status: 503, body: tableDown});
const undecided = {status: 202, body: {accepted: 'unknown', nonce: 'n'}};
const busy = {status: 503, body: {}};
const own = listing(revision(changed));
const anothers = listing(revision([], 'luz'));
const refusedKey: Script = {
  'GET /v1/status': [{status: 401, body: {kind: 'unauthenticated'}}],
};
const statusBody = {
  standing: {kind: 'serving'},
  instances: [{member: {id: 'a', region: 'north'}, ready: true}],
};
const serving: Script = {'GET /v1/status': [{status: 200, body: statusBody}]};
const servingText =
  'field     value\nstanding  kind=serving\n\ninstances\nid  region  ready\na   north   true\n';
const informed = 'accepted as revision 8 (3 of 3 instances have it)';
const notKnown = 'not known whether the change was accepted';

const cases: readonly Case[] = [
  [
    'lists classes as a table',
    'class list',
    readable,
    done,
    {stdout: 'dispatch  500 '},
  ],
  [
    'lists classes as JSON',
    'class list --json',
    readable,
    done,
    {stdout: '"firstTokenMilliseconds": 500'},
  ],
  [
    'changes one target and keeps the others',
    setDeadline,
    accepting,
    done,
    {stdout: informed},
  ],
  [
    'names every missing target of a new class',
    badClass,
    readable,
    invalid,
    {stderr: '--requests-per-second'},
  ],
  ...['--weight=3', '--weights', '--address', '--upstream'].map(
    (option): Case => [
      `refuses ${option}`,
      `class set dispatch ${option}`,
      {},
      usage,
      {stderr: TARGETS_ONLY},
    ],
  ),
  [
    'refuses an unknown option',
    'class set dispatch --deadlne 3',
    {},
    usage,
    {stderr: '--deadlne'},
  ],
  [
    'reports a conflict with the winner',
    setDeadline,
    losing,
    conflict,
    {stderr: 'revision 8 by luz came first'},
  ],
  [
    'reports a refused key',
    'status',
    refusedKey,
    exitCodes.unauthenticated,
    {stderr: 'refused'},
  ],
  [
    'reports an outage as not accepted',
    setDeadline,
    outage,
    exitCodes.unavailable,
    {stderr: 'nothing was changed: table down'},
  ],
  [
    'reads back a lost answer: accepted',
    setDeadline,
    changing('cut', own),
    done,
    {stdout: 'accepted as revision 8'},
  ],
  [
    'reads back a lost answer: another change won',
    setDeadline,
    changing('cut', anothers),
    conflict,
    {stderr: 'by luz'},
  ],
  [
    'reads back a lost answer: still unknown',
    setDeadline,
    changing('cut', listing()),
    exitCodes.outcomeUnknown,
    {stderr: notKnown},
  ],
  [
    'reads back when the control program does not know',
    setDeadline,
    changing(undecided, busy, own),
    done,
    {stdout: 'accepted as revision 8'},
  ],
  [
    'removes nothing that is not there',
    'class remove quotes',
    readable,
    exitCodes.notFound,
    {stderr: 'there is no quotes'},
  ],
  [
    'shows history',
    'config history --after 7',
    {[AFTER_7]: [own]},
    done,
    {stdout: 'setClass dispatch'},
  ],
  [
    'shows the status with one column for each field of a member',
    'status',
    serving,
    done,
    {stdout: servingText},
  ],
  ['checks its settings', 'check-settings', {}, done, {stdout: 'in order'}],
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

  it.each(cases)('%s', async (_name, words, script, exitCode, output) => {
    const api = new ScriptedApi(script);
    const address = await api.listen();
    const result = await run(words.split(' '), [address]);
    api.close();
    expect(result.stderr).toContain(output.stderr ?? '');
    expect(result.stdout).toContain(output.stdout ?? '');
    expect(result.exitCode).toBe(exitCode);
    const sent = api.received.filter(call => call.call === REVISIONS);
    // Where the script answers a change, it is sent once.
    expect(sent.length).toBe(REVISIONS in script ? 1 : 0);
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

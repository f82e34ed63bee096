import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {exitCodes} from '../exitCodes.js';
import {TARGETS_ONLY_MESSAGE} from '../refusedOptions.js';
import {runRedwing} from '../runRedwing.js';
import {Script, ScriptedApi} from './scriptedApi.js';

/** Tests the command line for operators against a scripted administration API. */

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

const changedOperations = [
  {kind: 'setClass', value: {...dispatch, deadlineMilliseconds: 4000}},
];

const configurationScript: Script = {
  'GET /v1/configuration': [{status: 200, body: configuration}],
};

const acceptedBody = {
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

type CommandCase = readonly [
  name: string,
  commandLine: string,
  script: Script,
  exitCode: number,
  output: {readonly stdout?: string; readonly stderr?: string},
];

type ScriptedResponses = Script[string];

/** Responds to one change, then to reads of the revisions after 7. */
function scriptChange(
  response: ScriptedResponses[number],
  ...after: ScriptedResponses
): Script {
  const changes = {...configurationScript, [REVISIONS]: [response]};
  return after.length === 0 ? changes : {...changes, [AFTER_7]: after};
}

function revisionsResponse(
  ...revisions: readonly unknown[]
): ScriptedResponses[number] {
  return {status: 200, body: {revisions}};
}

const setDeadline = 'class set dispatch --deadline-milliseconds 4000';
const badClass = 'class set quotes --deadline-milliseconds=-4';
const {done, conflict, invalid, usage} = exitCodes;
const acceptedScript = scriptChange({status: 201, body: acceptedBody});
const conflictBody = {accepted: 'no', kind: 'conflict', winningRevision: 8};
const conflictScript = scriptChange({
  status: 409,
  body: {...conflictBody, operator: 'luz'},
});
const unavailableBody = {
  accepted: 'no',
  kind: 'unavailable',
  detail: 'table down',
};
const unavailableScript = scriptChange({status: 503, body: unavailableBody});
const unknownResponse = {status: 202, body: {accepted: 'unknown', nonce: 'n'}};
const busyResponse = {status: 503, body: {}};
const ownRevision = revisionsResponse(revision(changedOperations));
const otherRevision = revisionsResponse(revision([], 'luz'));
const refusedKeyScript: Script = {
  'GET /v1/status': [{status: 401, body: {kind: 'unauthenticated'}}],
};
const statusBody = {
  standing: {kind: 'serving'},
  instances: [{member: {id: 'a', region: 'north'}, ready: true}],
};
const statusScript: Script = {
  'GET /v1/status': [{status: 200, body: statusBody}],
};
const statusText =
  'field     value\nstanding  kind=serving\n\ninstances\nid  region  ready\na   north   true\n';
const acceptedText = 'accepted as revision 8 (3 of 3 instances have it)';
const unknownText = 'not known whether the change was accepted';

const cases: readonly CommandCase[] = [
  [
    'lists classes as a table',
    'class list',
    configurationScript,
    done,
    {stdout: 'dispatch  500 '},
  ],
  [
    'lists classes as JSON',
    'class list --json',
    configurationScript,
    done,
    {stdout: '"firstTokenMilliseconds": 500'},
  ],
  [
    'changes one target and keeps the others',
    setDeadline,
    acceptedScript,
    done,
    {stdout: acceptedText},
  ],
  [
    'reports every missing target of a new class',
    badClass,
    configurationScript,
    invalid,
    {stderr: '--requests-per-second'},
  ],
  ...['--weight=3', '--weights', '--address', '--upstream'].map(
    (option): CommandCase => [
      `refuses ${option}`,
      `class set dispatch ${option}`,
      {},
      usage,
      {stderr: TARGETS_ONLY_MESSAGE},
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
    'reports a conflict with the operator whose change came first',
    setDeadline,
    conflictScript,
    conflict,
    {stderr: 'revision 8 by luz came first'},
  ],
  [
    'reports that the key was refused',
    'status',
    refusedKeyScript,
    exitCodes.unauthenticated,
    {stderr: 'refused'},
  ],
  [
    'reports a change as not accepted when the table is down',
    setDeadline,
    unavailableScript,
    exitCodes.unavailable,
    {stderr: 'nothing was changed: table down'},
  ],
  [
    'reports a change as accepted when its response is lost and it is read back',
    setDeadline,
    scriptChange('cut', ownRevision),
    done,
    {stdout: 'accepted as revision 8'},
  ],
  [
    'reports a conflict when its response is lost and another change is read back',
    setDeadline,
    scriptChange('cut', otherRevision),
    conflict,
    {stderr: 'by luz'},
  ],
  [
    'reports an unknown outcome when its response is lost and no revision is read back',
    setDeadline,
    scriptChange('cut', revisionsResponse()),
    exitCodes.outcomeUnknown,
    {stderr: unknownText},
  ],
  [
    'reads the revision back when the control program does not know the outcome',
    setDeadline,
    scriptChange(unknownResponse, busyResponse, ownRevision),
    done,
    {stdout: 'accepted as revision 8'},
  ],
  [
    'reports that an entry to remove does not exist',
    'class remove quotes',
    configurationScript,
    exitCodes.notFound,
    {stderr: 'there is no quotes'},
  ],
  [
    'shows the history',
    'config history --after 7',
    {[AFTER_7]: [ownRevision]},
    done,
    {stdout: 'setClass dispatch'},
  ],
  [
    'shows the status with one column for each field of a member',
    'status',
    statusScript,
    done,
    {stdout: statusText},
  ],
  ['checks the settings', 'check-settings', {}, done, {stdout: 'in order'}],
];

interface CommandResult {
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
    commandLine: readonly string[],
    addresses: readonly string[],
  ): Promise<CommandResult> {
    const settings = writeFile('settings.json', {
      controlAddresses: addresses,
      operatorKeyFile: path.join(folder, 'key'),
      timeoutSeconds: 5,
    });
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const fullLine = [...commandLine, '--settings', settings];
    const exitCode = await runRedwing(fullLine, {stdout, stderr});
    return {
      exitCode,
      stdout: String(stdout.read() ?? ''),
      stderr: String(stderr.read() ?? ''),
    };
  }

  it.each(cases)('%s', async (_name, commandLine, script, exitCode, output) => {
    const api = new ScriptedApi(script);
    const address = await api.listen();
    const result = await run(commandLine.split(' '), [address]);
    api.close();
    expect(result.stderr).toContain(output.stderr ?? '');
    expect(result.stdout).toContain(output.stdout ?? '');
    expect(result.exitCode).toBe(exitCode);
    const sent = api.received.filter(call => call.call === REVISIONS);
    // A change is sent exactly once, and only if the script has a response for it.
    expect(sent.length).toBe(REVISIONS in script ? 1 : 0);
    for (const {body} of sent) {
      expect(body).toEqual({
        operations: changedOperations,
        expectedRevision: 7,
      });
    }
    expect(result.stderr + result.stdout).not.toContain(OPERATOR_KEY);
  });

  it('uses the next address when one refuses connections', async () => {
    const closedApi = new ScriptedApi({});
    const closedAddress = await closedApi.listen();
    closedApi.close();
    const api = new ScriptedApi(configurationScript);
    const address = await api.listen();
    const result = await run(['class', 'list'], [closedAddress, address]);
    const resultWithoutOpenAddress = await run(
      ['class', 'list'],
      [closedAddress],
    );
    api.close();
    expect(result.exitCode).toBe(exitCodes.done);
    expect(api.received[0].authorization).toBe(`Bearer ${OPERATOR_KEY}`);
    expect(resultWithoutOpenAddress.exitCode).toBe(exitCodes.unavailable);
  });

  it('reports all findings of a change file together', async () => {
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
    for (const position of [
      '$.operations[0].value.deadlineMilliseconds: milliseconds above 0',
      '$.operations[1].value.weight: no such field: operators state targets only',
      '$.operations[2].value.version',
      '$.operations[2].value.layerCount',
      '$.operations[2].value.addresses: no such field: operators state targets only',
    ]) {
      expect(lines).toContain(`${file} ${position}`);
    }
  });
});

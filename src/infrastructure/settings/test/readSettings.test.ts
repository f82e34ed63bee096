import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import * as zod from 'zod';

import {
  controlSettingsSchema,
  entrySettingsSchema,
  operatorSettingsSchema,
} from '../common/settingsSchemas.js';
import {readSecretFile, readSettings} from '../node/readSettings.js';

/** Which settings files are accepted, and with which path and text errors are reported. */

const instance = {id: 'entry-1', region: 'west', dataCentre: 'west-1'};
const platform = {
  tableAddress: '127.0.0.1:7001',
  objectsAddress: '127.0.0.1:7002',
  weightsAddress: '127.0.0.1:7003',
  membershipAddress: '127.0.0.1:7004',
};
const observation = {logLevel: 'info'};

const entry = {
  instance,
  callerAddress: '127.0.0.1:8080',
  peerAddress: '127.0.0.1:8081',
  controlAddress: '127.0.0.1:8082',
  platform,
  peerKeyFile: 'peer.key',
  observation,
  bodyLimitBytes: 1_048_576,
  concurrentRequestLimit: 100,
  entrypointsSeconds: 30,
  drainSeconds: 60,
  cellSize: 8,
  policy: 'redwing',
};

const control = {
  instance,
  controlAddress: '127.0.0.1:8082',
  platform,
  peerKeyFile: 'peer.key',
  operatorKeysFile: 'operators.json',
  observation,
  headReadSeconds: 2,
  membershipReadSeconds: 2,
  peerExchangeSeconds: 1,
  confirmationBoundSeconds: 10,
  placementEnabled: true,
};

const operator = {
  controlAddresses: ['127.0.0.1:8082'],
  operatorKeyFile: 'operator.key',
  timeoutSeconds: 5,
};

interface Case {
  readonly name: string;
  readonly schema: zod.ZodType;
  /** JSON text, or a value to be written as JSON. */
  readonly content: unknown;
  /** `path: expected` of each finding, in order. */
  readonly findings: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'valid entry settings',
    schema: entrySettingsSchema,
    content: entry,
    findings: [],
  },
  {
    name: 'valid control settings',
    schema: controlSettingsSchema,
    content: control,
    findings: [],
  },
  {
    name: 'valid operator settings',
    schema: operatorSettingsSchema,
    content: operator,
    findings: [],
  },
  {
    name: 'an empty file',
    schema: entrySettingsSchema,
    content: '',
    findings: ['line 1, column 1: well-formed JSON'],
  },
  {
    name: 'a truncated file',
    schema: entrySettingsSchema,
    content: '{"instance": {\n  "id": "a"',
    findings: ['line 2, column 12: well-formed JSON'],
  },
  {
    name: 'an unquoted string',
    schema: entrySettingsSchema,
    content: '{\n  "cellSize": 8,\n  "policy": redwing\n}',
    findings: ['line 3, column 13: well-formed JSON'],
  },
  {
    name: 'a trailing comma',
    schema: entrySettingsSchema,
    content: '{"a": 1,}',
    findings: ['line 1, column 9: well-formed JSON'],
  },
  {
    name: 'text after the JSON value',
    schema: entrySettingsSchema,
    content: '{"a": 1}\n}',
    findings: ['line 2, column 1: well-formed JSON'],
  },
  {
    name: 'several errors',
    schema: entrySettingsSchema,
    content: {
      ...entry,
      callerAddress: 'localhost:8080',
      instance: {id: 'entry-1', region: 7},
      cellSize: 0,
      policy: 'random',
      weight: 3,
    },
    findings: [
      '$.instance.region: string',
      '$.instance.dataCentre: string, but the field is missing',
      '$.callerAddress: an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080',
      '$.cellSize: at least 1',
      '$.policy: one of redwing, naive',
      '$.weight: no such field',
    ],
  },
  {
    name: 'a port out of range',
    schema: operatorSettingsSchema,
    content: {...operator, controlAddresses: ['127.0.0.1:1', '10.0.0.1:65536']},
    findings: [
      '$.controlAddresses[1]: an IPv4 address and a port from 1 to 65535, such as 10.0.0.1:8080',
    ],
  },
  {
    name: 'an empty list of addresses',
    schema: operatorSettingsSchema,
    content: {...operator, controlAddresses: []},
    findings: ['$.controlAddresses: at least 1 entries'],
  },
  {
    name: 'an unknown nested field',
    schema: controlSettingsSchema,
    content: {...control, platform: {...platform, user: 'x'}},
    findings: ['$.platform.user: no such field'],
  },
  {
    name: 'a confirmation bound below the read interval',
    schema: controlSettingsSchema,
    content: {...control, confirmationBoundSeconds: 1},
    findings: ['$.confirmationBoundSeconds: more than headReadSeconds'],
  },
  {
    name: 'an exclusive minimum with and without a custom message',
    schema: zod.object({
      plain: zod.number().positive(),
      stated: zod.number().positive('seconds above 0'),
    }),
    content: {plain: 0, stated: 0},
    findings: ['$.plain: more than 0', '$.stated: seconds above 0'],
  },
  {
    name: 'an array in place of an object',
    schema: controlSettingsSchema,
    content: [],
    findings: ['$: object'],
  },
];

describe('settings files', () => {
  let folder: string;

  beforeAll(() => {
    folder = mkdtempSync(path.join(tmpdir(), 'settings-'));
  });

  afterAll(() => rmSync(folder, {recursive: true}));

  it.each(cases)(
    'gives the expected findings for $name',
    ({schema, content, findings}) => {
      const file = path.join(folder, 'settings.json');
      const text =
        typeof content === 'string' ? content : JSON.stringify(content);
      writeFileSync(file, text);
      const result = readSettings(file, schema);
      const actual = result.ok ? [] : result.error;
      expect(
        actual.map(finding => `${finding.path}: ${finding.expected}`),
      ).toEqual(findings);
      expect(actual.every(finding => finding.source === file)).toBe(true);
    },
  );

  it('reports a file that cannot be read', () => {
    const file = path.join(folder, 'absent.json');
    expect(readSettings(file, entrySettingsSchema)).toEqual({
      ok: false,
      error: [{source: file, path: '$', expected: 'a readable file (ENOENT)'}],
    });
  });

  it.each([
    {text: 'secret\n', ok: true},
    {text: '', ok: false},
    {text: 'two\nlines', ok: false},
  ])('accepts a key file with the text $text: $ok', ({text, ok}) => {
    const file = path.join(folder, 'key');
    writeFileSync(file, text);
    const result = readSecretFile(file);
    expect(result.ok).toBe(ok);
    expect(JSON.stringify(result)).not.toContain('two');
  });
});

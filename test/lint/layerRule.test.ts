import {ESLint} from 'eslint';
import {describe, expect, it} from 'vitest';

/** Runs the repository's own lint rules through its ESLint configuration. */

interface Case {
  readonly name: string;
  readonly file: string;
  readonly code: string;
  /** The rule that must report the code; undefined when the code is valid. */
  readonly rule: string | undefined;
}

const LAYERS_RULE = 'layers/order';
const NAMES_RULE = 'layers/wireNames';

const cases: readonly Case[] = [
  {
    name: 'base may import base',
    file: 'src/base/common/a.ts',
    code: "export * from './result.js';",
    rule: undefined,
  },
  {
    name: 'product code must not import the platform adapter',
    file: 'src/programs/router/a.ts',
    code: "export * from '../../../platform/store.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'the platform adapter may import product code',
    file: 'platform/a.ts',
    code: "export * from '../src/programs/router/routerSettings.js';",
    rule: undefined,
  },
  {
    name: 'a header name of the platform is reported outside the adapter',
    file: 'src/features/paths/common/a.ts',
    code: "export const header = 'hop-count';",
    rule: NAMES_RULE,
  },
  {
    name: 'a field name of the platform is reported outside the adapter',
    file: 'src/features/paths/common/a.ts',
    code: 'export const settings = {RevokeMs: 5};',
    rule: NAMES_RULE,
  },
  {
    name: 'a path of the platform is reported outside the adapter',
    file: 'src/features/paths/common/a.ts',
    code: 'export const path = (table: string) => `/rows-get?Table=${table}`;',
    rule: NAMES_RULE,
  },
  {
    name: 'a header name of the platform is allowed in the adapter',
    file: 'platform/a.ts',
    code: "export const header = 'Hop-Count';",
    rule: undefined,
  },
  {
    name: 'base must not import infrastructure',
    file: 'src/base/common/a.ts',
    code: "export * from '../../infrastructure/table/common/tableService.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'infrastructure must not import features',
    file: 'src/infrastructure/table/node/a.ts',
    code: "import {x} from '../../../features/claims/common/claims.js';\nx();",
    rule: LAYERS_RULE,
  },
  {
    name: 'features must not import programs',
    file: 'src/features/claims/node/a.ts',
    code: "export const load = import('../../../programs/entry/main.js');",
    rule: LAYERS_RULE,
  },
  {
    name: 'features may import infrastructure',
    file: 'src/features/claims/common/a.ts',
    code: "export * from '../../../infrastructure/table/common/tableService.js';",
    rule: undefined,
  },
  {
    name: 'programs may import features',
    file: 'src/programs/entry/a.ts',
    code: "export * from '../../features/claims/common/claims.js';",
    rule: undefined,
  },
  {
    name: 'a type import must follow the layers',
    file: 'src/base/common/a.ts',
    code: "export type T = import('../../infrastructure/logging/common/logger.js').Logger;",
    rule: LAYERS_RULE,
  },
  {
    name: 'common must not import a node module',
    file: 'src/base/common/a.ts',
    code: "export {readFileSync} from 'node:fs';",
    rule: LAYERS_RULE,
  },
  {
    name: 'common must not import a package that needs Node.js',
    file: 'src/infrastructure/http/common/a.ts',
    code: "export {request} from 'undici';",
    rule: LAYERS_RULE,
  },
  {
    name: 'common may import a portable package',
    file: 'src/infrastructure/http/common/a.ts',
    code: "export {z} from 'zod';",
    rule: undefined,
  },
  {
    name: 'common must not import a node folder',
    file: 'src/base/common/a.ts',
    code: "export * from '../node/systemClock.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'node may import common and node modules',
    file: 'src/base/node/a.ts',
    code: "export * from '../common/clock.js';\nexport * from 'node:fs';",
    rule: undefined,
  },
  {
    name: 'product code must not import a test folder',
    file: 'src/features/claims/node/a.ts',
    code: "export * from '../test/fakes.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'product code must not import measurements',
    file: 'src/programs/entry/a.ts',
    code: "export * from '../../../measure/common/throughputBound.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'a test may import test support',
    file: 'src/features/claims/test/a.test.ts',
    code: "export * from '../../../../test/support/launcher.js';",
    rule: undefined,
  },
  {
    name: 'a test must follow the layers',
    file: 'src/base/test/a.test.ts',
    code: "export * from '../../features/claims/common/claims.js';",
    rule: LAYERS_RULE,
  },
  {
    name: 'a default export is reported',
    file: 'src/base/common/a.ts',
    code: 'const x = 1;\nexport default x;',
    rule: 'no-restricted-syntax',
  },
  {
    name: 'an export renamed to default is reported',
    file: 'src/base/common/a.ts',
    code: 'const x = 1;\nexport {x as default};',
    rule: 'no-restricted-syntax',
  },
  {
    name: 'a default export is allowed in a configuration file',
    file: 'other.config.ts',
    code: 'const x = 1;\nexport default x;',
    rule: undefined,
  },
];

/** The snippets belong to no TypeScript project, so rules that need type information are off. */
const eslint = new ESLint({
  overrideConfig: {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: null}},
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
});

describe('lint rules', () => {
  it.each(cases)('$name', async ({file, code, rule}) => {
    const [result] = await eslint.lintText(code + '\n', {filePath: file});
    const reported = result.messages.map(message => message.ruleId);
    expect(reported).toEqual(rule === undefined ? [] : [rule]);
  });
});

import {readFileSync} from 'node:fs';

import {expect, it} from 'vitest';

import {version} from '../common/version.js';

it('version matches the version in package.json', () => {
  const packageFile = JSON.parse(readFileSync('package.json', 'utf8'));
  expect(packageFile.version).toBe(version);
});

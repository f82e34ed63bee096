import {execFileSync} from 'node:child_process';
import {join} from 'node:path';

import {expect, it} from 'vitest';

import {repositoryRoot} from './managedProcess.js';
import {freeAddresses} from './ports.js';

const ADDRESS_COUNT = 250;
const FIRST_EPHEMERAL_PORT = 32_768;

it('allocates different ports to two processes, all below the ephemeral port range', async () => {
  const own = await freeAddresses(ADDRESS_COUNT);
  const module = join(repositoryRoot(), 'dist/test/support/ports.js');
  const script = `
    import {freeAddresses} from ${JSON.stringify(module)};
    console.log((await freeAddresses(${ADDRESS_COUNT})).join(' '));`;
  const output = execFileSync(
    process.execPath,
    ['--input-type=module', '--eval', script],
    {encoding: 'utf8'},
  );
  const all = [...own, ...output.trim().split(' ')];
  expect(new Set(all).size).toBe(2 * ADDRESS_COUNT);
  const ports = all.map(address => Number(address.split(':')[1]));
  expect(Math.max(...ports)).toBeLessThan(FIRST_EPHEMERAL_PORT);
});

import {execFileSync} from 'node:child_process';
import {join} from 'node:path';

import {expect, it} from 'vitest';

import {repositoryRoot} from './managedProcess.js';
import {freeAddresses} from './ports.js';

const COUNT = 250;
const FIRST_OUTGOING_PORT = 32_768;

it('gives two processes different ports, none that outgoing connections take', async () => {
  const own = await freeAddresses(COUNT);
  const module = join(repositoryRoot(), 'dist/test/support/ports.js');
  const script = `
    import {freeAddresses} from ${JSON.stringify(module)};
    console.log((await freeAddresses(${COUNT})).join(' '));`;
  const output = execFileSync(
    process.execPath,
    ['--input-type=module', '--eval', script],
    {encoding: 'utf8'},
  );
  const all = [...own, ...output.trim().split(' ')];
  expect(new Set(all).size).toBe(2 * COUNT);
  const ports = all.map(address => Number(address.split(':')[1]));
  expect(Math.max(...ports)).toBeLessThan(FIRST_OUTGOING_PORT);
});

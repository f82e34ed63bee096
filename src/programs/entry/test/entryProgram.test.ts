import {afterEach, expect, test} from 'vitest';

import {freeAddresses} from '../../../../test/support/ports.js';
import {
  createRpcRouter,
  parseAddress,
  peerProcedure,
  serveRpc,
} from '../../../infrastructure/rpc/node/rpc.js';
import {EntrySettings} from '../../../infrastructure/settings/common/programSettings.js';
import {Disposable} from '../../../base/common/lifecycle.js';
import {
  configuration,
  instanceView,
} from '../../../features/callers/test/callerFakes.js';
import {EntryAnnouncement} from '../../../features/membership/common/systemView.js';
import {EntryProgram} from '../entryProgram.js';

const peerKey = 'peer-secret';
const disposables: Disposable[] = [];

afterEach(() => {
  disposables.splice(0).forEach(disposable => disposable.dispose());
});

async function entrySettings(
  policy: EntrySettings['policy'],
): Promise<EntrySettings> {
  const [callerAddress, peerAddress, controlAddress, unusedAddress] =
    (await freeAddresses(4)) as [string, string, string, string];
  return {
    instance: {id: 'a', region: 'east', dataCentre: 'dc1'},
    callerAddress,
    peerAddress,
    controlAddress,
    platform: {
      tableAddress: unusedAddress,
      objectsAddress: unusedAddress,
      weightsAddress: unusedAddress,
      membershipAddress: unusedAddress,
    },
    peerKeyFile: 'none',
    observation: {logLevel: 'error'},
    bodyLimitBytes: 1024,
    concurrentRequestLimit: 10,
    entrypointsSeconds: 30,
    drainSeconds: 5,
    cellSize: 8,
    policy,
  };
}

/** Serves one view as a control program and returns the announcements that it receives. */
async function serveControlProgram(
  address: string,
): Promise<EntryAnnouncement[]> {
  const announcements: EntryAnnouncement[] = [];
  let watchCount = 0;
  const update = {
    position: {source: 'control', sequence: 1},
    standing: {kind: 'serving'},
    configuration,
    instances: [instanceView('a')],
    upstreams: [],
  };
  const view = createRpcRouter({
    watch: peerProcedure.query(async ({signal}) => {
      watchCount += 1;
      if (watchCount > 1) {
        await new Promise(resolve =>
          signal?.addEventListener('abort', resolve, {once: true}),
        );
      }
      return update;
    }),
    announce: peerProcedure
      .input((value: unknown) => value as EntryAnnouncement)
      .mutation(({input}) => void announcements.push(input)),
  });
  disposables.push(await serveRpc(createRpcRouter({view}), address, peerKey));
  return announcements;
}

async function fetchHealthStatus(settings: EntrySettings): Promise<number> {
  const {host, port} = parseAddress(settings.callerAddress);
  return (await fetch(`http://${host}:${port}/v1/health`)).status;
}

test.each(['redwing', 'naive'] as const)(
  'with policy %s, the program serves once it has a view, announces itself, and announces when it leaves',
  async policy => {
    const settings = await entrySettings(policy);
    const program = new EntryProgram(settings, peerKey);
    await program.start();
    expect(await fetchHealthStatus(settings)).toBe(503);
    const announcements = await serveControlProgram(settings.controlAddress);
    await expect.poll(() => fetchHealthStatus(settings)).toBe(200);
    await expect.poll(() => announcements.length).toBe(1);
    await program.stop();
    expect(announcements.map(({leaving}) => leaving)).toEqual([false, true]);
    await expect(fetchHealthStatus(settings)).rejects.toThrow();
  },
);

test('the program fails to start when its caller address is in use', async () => {
  const settings = await entrySettings('naive');
  const first = new EntryProgram(settings, peerKey);
  await first.start();
  const second = new EntryProgram(settings, peerKey);
  await expect(second.start()).rejects.toThrow('EADDRINUSE');
  second.dispose();
  await first.stop();
});

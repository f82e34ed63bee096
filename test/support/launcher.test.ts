import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {afterEach, expect, it} from 'vitest';

import {neverCancelled} from '../../src/base/common/cancellation.js';
import {ConfigurationOperation} from '../../src/features/configuration/common/configuration.js';
import {HttpEngineConnector} from '../../src/infrastructure/engine/node/httpEngineConnector.js';
import {HttpMembershipList} from '../../src/infrastructure/membership/node/httpMembershipList.js';
import {hashKey, LaunchedSystem} from './launcher.js';
import {repositoryRoot} from './managedProcess.js';
import {callJson} from './systemHandles.js';

let system: LaunchedSystem | undefined;

afterEach(async () => {
  await system?.dispose();
  system = undefined;
});

it('distributes stand-ins over data centres and registers them in the membership list', async () => {
  system = await LaunchedSystem.launch({
    instances: 0,
    dataCentres: [
      {name: 'west-1', region: 'west'},
      {name: 'west-2', region: 'west'},
    ],
    layerCount: 5,
    replicas: 3,
    crossDataCentreLinkMilliseconds: 7,
    hasMixedFencing: true,
    services: [{name: 'dispatch', replicas: 2}],
  });
  const address = system.platformSettings.membershipAddress;
  const list = new HttpMembershipList(address, 'test');
  const snapshot = await list.read(neverCancelled);
  list.dispose();
  const listedMembers = snapshot.ok
    ? snapshot.value.members.map(member => `${member.id} ${member.dataCentre}`)
    : [];
  expect(listedMembers).toEqual([
    'engine-0-0 west-1',
    'engine-0-1 west-1',
    'engine-1-0 west-2',
    'engine-1-1 west-2',
    'engine-2-0 west-1',
    'engine-2-1 west-1',
    'dispatch-0 west-1',
    'dispatch-1 west-2',
  ]);
  const settings = system.engines.map(engine => engine.settings);
  expect(settings.slice(0, 2).map(engine => engine.layers)).toEqual([
    {from: 0, to: 3},
    {from: 3, to: 5},
  ]);
  expect(settings[0]?.linkMilliseconds).toEqual({
    'engine-1-0': 7,
    'engine-1-1': 7,
  });
  expect(settings.map(engine => engine.checksFencing)).toEqual([
    true,
    true,
    false,
    false,
    true,
    true,
  ]);
});

it('keeps the ledger of an engine that is killed and restarted', async () => {
  system = await LaunchedSystem.launch({
    instances: 0,
    replicas: 1,
    enginesPerProcess: 1,
    services: [],
  });
  const [engine, other] = system.engines;
  const connector = new HttpEngineConnector();
  const connection = connector.connect(engine!.id, engine!.settings.address);
  await connection.cancel('request', 3, neverCancelled);
  await engine!.setFault({kind: 'leaving', leaving: true});
  const before = await connection.report(neverCancelled);
  await engine!.process.kill();
  expect(other!.process.isRunning).toBe(true);
  const down = await connection.report(neverCancelled);
  expect(down.ok).toBe(false);
  await engine!.process.restart();
  await system.waitUntil('the engine is back', async () => {
    const report = await connection.report(neverCancelled);
    return report.ok;
  });
  const after = await connection.report(neverCancelled);
  connector.dispose();
  expect(before.ok && after.ok).toBe(true);
  if (before.ok && after.ok) {
    const {engineIncarnation} = before.value;
    expect(after.value.engineIncarnation).not.toBe(engineIncarnation);
    expect(after.value.leaving).toBe(false);
  }
  const ledger = await engine!.ledger();
  expect(ledger).toMatchObject([{kind: 'cancelled', epoch: 3}]);
});

it('starts instances that serve a model and shuts one down gracefully', async () => {
  const operations: readonly ConfigurationOperation[] = [
    {
      kind: 'setModel',
      value: {name: 'assistant', version: '1', layerCount: 8, adapters: []},
    },
    {
      kind: 'setClass',
      value: {
        name: 'quote',
        firstTokenMilliseconds: 2000,
        betweenTokensMilliseconds: 200,
        deadlineMilliseconds: 20000,
        requestsPerSecond: 10,
        repeatable: true,
      },
    },
    {
      kind: 'setClientAccount',
      value: {name: 'site-1', keyHash: hashKey('site-key')},
    },
  ];
  system = await LaunchedSystem.launch(
    {entrySettings: {drainSeconds: 2}},
    operations,
  );
  const [first, second] = system.instances;
  const content = '[reply:6] pour twelve metres';
  const url = `http://${first!.member.callerAddress}/v1/chat/completions`;
  const response = await callJson(
    'POST',
    url,
    {model: 'assistant', messages: [{role: 'user', content}], max_tokens: 20},
    {authorization: 'Bearer site-key', 'redwing-class': 'quote'},
  );
  expect(response.status).toBe(200);
  const ledgers = await Promise.all(
    system.engines.map(engine => engine.ledger()),
  );
  const generatedTokens = ledgers
    .flat()
    .flatMap(entry => (entry.kind === 'completed' ? (entry.token ?? []) : []));
  const text = JSON.stringify(response.body);
  expect(generatedTokens).toHaveLength(6);
  expect(text).toContain(generatedTokens.join(' '));
  expect(await system.stopInstance(second!)).toEqual([0, 0]);
  await first!.entry.kill();
  expect(await first!.isReady()).toBe(false);
});

it('leaves no child process or directory behind when the launching process is killed', async () => {
  const launcher = join(repositoryRoot(), 'dist/test/support/launcher.js');
  const script = `
    import {LaunchedSystem} from ${JSON.stringify(launcher)};
    const system = await LaunchedSystem.launch({instances: 0, replicas: 1});
    system.platform.process.freeze();
    const parts = [system.platform, ...system.engines, ...system.services];
    const pids = parts.map(part => part.process.pid);
    console.log(JSON.stringify(pids) + '\\n' + system.directory);
    setInterval(() => undefined, 1000);`;
  const child = spawn(
    process.execPath,
    ['--input-type=module', '--eval', script],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  const [output] = (await once(child.stdout, 'data')) as [Buffer];
  const [pidText = '', directory = ''] = output.toString().split('\n');
  const pids = JSON.parse(pidText) as number[];
  expect(pids.filter(isRunning)).toEqual(pids);
  child.kill('SIGKILL');
  await expect.poll(() => pids.filter(isRunning)).toEqual([]);
  await expect.poll(() => existsSync(directory)).toBe(false);
});

/** Whether a process runs; a zombie (state Z), which has exited but is not reaped yet, does not. */
function isRunning(pid: number): boolean {
  try {
    const state = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1];
    return state?.startsWith('Z') === false;
  } catch {
    return false;
  }
}

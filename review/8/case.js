import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/**
 * Requests with a part of a prompt that crashes replicas come at four machines. All processes of the system are killed at once and
 * start again; some seconds later such requests come again.
 */

const folder = dirname(fileURLToPath(import.meta.url));
const built = join(folder, '../../dist/test');
const {StandInSystem, waitFor} = await import(
  join(built, 'standins/fleet/system.js')
);
const {sendRequest, waitUntilServing} = await import(
  join(built, 'router/sendRequest.js')
);

const hasTrouble = process.env.TROUBLE !== '0';

const MACHINES = 4;
const CONTACT_MILLISECONDS = 3_000;
const ALLOWED_LATER = 3;
const SOUND_PERIOD_MILLISECONDS = 25;
/** Requests with the part: the first ones come at different machines at once. */
const REQUESTS = 15;
const AT_ONCE = 3;
const DEADLY_PERIOD_MILLISECONDS = 500;
/** From the restart to the next request with the part: the machines are in touch again. */
const QUIET_MILLISECONDS = 6_000;

const start = performance.now();
const lines = [];

function record(text) {
  const line = `${((performance.now() - start) / 1000).toFixed(3)} ${text}`;
  lines.push(line);
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  console.log(line);
}

let sent = 0;

async function send(system, parts) {
  const index = sent++;
  const {instances} = system;
  try {
    const answer = await sendRequest(
      instances[index % instances.length],
      '/chat/x',
      {
        headers: {
          'prefix-hash': parts.map(part => `${part}:10`).join(','),
          'token-count': '100,30',
        },
        patienceMilliseconds: 8_000,
      },
    );
    return `${answer.status}${answer.isComplete ? '' : ' broken off'}`;
  } catch (error) {
    return String(error.code ?? error);
  }
}

async function play(system) {
  const {engines} = system;
  let isOver = false;
  let isQuiet = false;
  const counts = new Map();
  const playSound = async () => {
    for (let index = 0; !isOver; index++) {
      while (isQuiet && !isOver) {
        await sleep(SOUND_PERIOD_MILLISECONDS);
      }
      void send(system, [`first-${index % 3}`, `sound-${index}`]).then(result =>
        counts.set(result, (counts.get(result) ?? 0) + 1),
      );
      await sleep(SOUND_PERIOD_MILLISECONDS);
    }
  };
  const playDeadly = async name => {
    for (let index = 0; index < REQUESTS; index++) {
      const own = `${name}-${index}`;
      void send(system, [`first-${index % 3}`, 'deadly', own]).then(result =>
        record(`request ${own} with the part: ${result}`),
      );
      if (index >= AT_ONCE - 1) {
        await sleep(DEADLY_PERIOD_MILLISECONDS);
      }
    }
  };
  const sound = playSound();
  await sleep(3_000);
  // A quiet moment: only requests with the part come, so that five crashes are needed to tell what is deadly.
  isQuiet = true;
  await sleep(1_000);
  engines.deadlyParts.add('deadly');
  await playDeadly('before');
  const {crashedAt, deadlyArrivals} = engines;
  const before = deadlyArrivals.length;
  record(
    `${before} requests with the part reached replicas, ${crashedAt.length} crashes`,
  );
  if (crashedAt.length < 5) {
    record('there were fewer than five crashes, from which the rule counts');
    return 2;
  }
  isQuiet = false;
  const fifth = crashedAt[4];
  record(`crashes at ${crashedAt.map(at => ((at - start) / 1000).toFixed(2))}`);
  await sleep(CONTACT_MILLISECONDS);
  if (hasTrouble) {
    await Promise.all(
      system.instances.map(({process: running}) => running.restart()),
    );
    record('all processes of the system were killed and have started again');
    await waitFor(async () => {
      const ready = await Promise.all(
        system.instances.map(instance => system.isReady(instance)),
      );
      return ready.every(Boolean);
    }, 10_000);
    record('all machines are ready');
  }
  await sleep(QUIET_MILLISECONDS);
  record('requests with the part come again');
  const from = performance.now();
  await playDeadly('after');
  await sleep(1_500);
  isOver = true;
  await sound;
  const later = deadlyArrivals.filter(
    ({at}) => at > Math.max(from, fifth + CONTACT_MILLISECONDS),
  );
  for (const {requestId, at} of later) {
    record(
      `reached a replica at ${((at - start) / 1000).toFixed(3)}: ${requestId}`,
    );
  }
  record(`crashes in all: ${crashedAt.length}`);
  record(`sound requests: ${JSON.stringify([...counts])}`);
  record(
    `${later.length} reached replicas later, ${ALLOWED_LATER} are allowed`,
  );
  return later.length > ALLOWED_LATER ? 1 : 0;
}

let system;
let code = 2;
try {
  system = await StandInSystem.start(MACHINES);
  await waitUntilServing(system.instances);
  code = await play(system);
} catch (error) {
  record(`could not run: ${String(error)}`);
  for (const {name, process: running} of system?.instances ?? []) {
    const last = running.log().trim().split('\n').at(-1)?.slice(0, 300);
    record(`${name} runs: ${running.isRunning}; its last line: ${last}`);
  }
} finally {
  await system?.stop();
}
record(
  ['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][code],
);
process.exit(code);

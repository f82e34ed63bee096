import {dirname} from 'node:path';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';

import {send} from '../lib/client.js';
import {hasTrouble, runCase, sleep} from '../lib/fleet.js';
import {PlainReplica} from '../lib/plain.js';

const WORK_MILLISECONDS = 600;
const LIMIT_MILLISECONDS = 2_500;
const DRAIN_MILLISECONDS = 2_000;
/** From the start of the load: the replica's row is removed; another writer's entry; the replica exits; the end. */
const LEAVES_AT = 1_000;
const ENTRY_AT = 5_000;
const EXIT_AT = 8_000;
const END_AT = 10_000;
const PERIOD_MILLISECONDS = 50;

async function answer(replica, request, response) {
  const id = request.headers['request-id'];
  replica.working.add(id);
  await sleep(WORK_MILLISECONDS);
  replica.working.delete(id);
  response.writeHead(200, {
    'request-id': id,
    'route-stamp': `${replica.id}.${id}`,
  });
  response.end(`booked ${id}`.padEnd(800, '.'));
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    let leftAt = Infinity;
    const late = [];
    const lost = [];
    const onRun = (replica, request, response) => {
      const age = performance.now() - leftAt;
      if (replica.id === 'i-3' && age > DRAIN_MILLISECONDS) {
        late.push(request.headers['request-id']);
        record.add(
          `DRAIN: ${replica.id} gets ${request.headers['request-id']} ${Math.round(age)} ms after its row was gone`,
        );
      }
      void answer(replica, request, response);
    };
    const replicas = ['i-1', 'i-2', 'i-3'].map(
      id => new PlainReplica(fleet, record, id, onRun),
    );
    for (const [index, replica] of replicas.entries()) {
      await replica.start(`${fleet.net}.${100 + index}`);
    }
    await fleet.start(2);
    await sleep(1_500);
    const begunAt = performance.now();
    const leaving = replicas[2];
    const steps = [
      {
        at: LEAVES_AT,
        run: () => {
          fleet.store.drop('servers', leaving.id);
          leftAt = performance.now();
          record.add('i-3 leaves: its row is gone, it goes on serving');
        },
      },
      {
        at: ENTRY_AT,
        run: () => {
          if (hasTrouble) {
            leaving.write({
              Version: undefined,
              ColdLeftMs: undefined,
              Seq: undefined,
              born: undefined,
            });
            record.add(
              'another writer has written the entry of i-3: Service, Addr, Zone, Slots and State ready; the other fields are missing',
            );
          }
        },
      },
      {
        at: EXIT_AT,
        run: () => {
          record.add(`i-3 exits; ${leaving.working.size} requests at work`);
          lost.push(...leaving.working);
          leaving.stop();
          fleet.store.drop('servers', leaving.id);
        },
      },
    ];
    const answers = [];
    for (let index = 0; performance.now() - begunAt < END_AT; index++) {
      while (steps.length > 0 && performance.now() - begunAt > steps[0].at) {
        steps.shift().run();
      }
      const id = `book${String(index).padStart(4, '0')}`;
      const router = fleet.routers[index % fleet.routers.length];
      answers.push(
        send(router.front, {
          path: '/book/pour',
          id,
          deadline: LIMIT_MILLISECONDS,
          body: 'a pour of 6 m3',
        }),
      );
      await sleep(PERIOD_MILLISECONDS);
    }
    const seen = await Promise.all(answers);
    for (const {id, status} of seen) {
      if (status !== 200) {
        const isLost = lost.includes(id) ? ', which was at work in i-3' : '';
        record.add(`client got ${status} for ${id}${isLost}`);
      }
    }
    const whole = seen.filter(({status}) => status === 200).length;
    record.add(
      `${seen.length} requests, ${whole} answered with 200, ${late.length} reached i-3 too late`,
    );
    replicas.forEach(replica => replica.stop());
    return late.length > 0;
  },
);

import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';

import {send} from './client.js';
import {hasTrouble, runCase, sleep} from './fleet.js';
import {PlainReplica} from './plain.js';

const TIMEOUT_MILLISECONDS = 2_500;
const LIMIT_MILLISECONDS = 6_000;
const WORK_MILLISECONDS = 43;
const REQUESTS = 350;
const PERIOD_MILLISECONDS = 45;

/** One of the three replicas spoils one in so many of its answers, which is less than 2 in 100. */
const FAULTY = 'i-1';
const SPOILS_ONE_IN = 51;
let spoiledCount = 0;

async function answerSpoiled(replica, request, response, body) {
  await sleep(WORK_MILLISECONDS);
  const id = request.headers['request-id'];
  const text = `booked ${id} ${body.length}`.padEnd(800, '.');
  const isSpoiled =
    hasTrouble &&
    replica.id === FAULTY &&
    replica.runs.indexOf(id) % SPOILS_ONE_IN === SPOILS_ONE_IN - 1;
  spoiledCount += isSpoiled ? 1 : 0;
  const reason = isSpoiled ? 'O\u0003' : 'OK';
  replica.record.add(
    `${replica.id} answers ${id}: 200 ${JSON.stringify(reason)}`,
  );
  response.socket.end(
    `HTTP/1.1 200 ${reason}\r\nRequest-Id: ${id}\r\nRoute-Stamp: ${replica.id}.${id}\r\n` +
      `Content-Length: ${text.length}\r\nConnection: close\r\n\r\n${text}`,
  );
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    const replicas = ['i-1', 'i-2', 'i-3'].map(
      id => new PlainReplica(fleet, record, id, answerSpoiled),
    );
    for (const [index, replica] of replicas.entries()) {
      await replica.start(`${fleet.net}.${100 + index}`);
    }
    await fleet.start(2);
    await sleep(1_500);
    const answers = [];
    for (let index = 0; index < REQUESTS; index++) {
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
    const open = seen.filter(
      ({milliseconds}) => milliseconds > TIMEOUT_MILLISECONDS,
    );
    const late = open.filter(
      ({milliseconds}) => milliseconds > TIMEOUT_MILLISECONDS + 500,
    );
    for (const {id, status, end, milliseconds} of seen) {
      if (status !== 200) {
        record.add(
          `client got ${status} (${end}, ${milliseconds} ms) for ${id}`,
        );
      }
    }
    record.add(
      `${open.length} unanswered at TimeoutMs, ${late.length} of them half a second later`,
    );
    record.add(
      `${spoiledCount} answers were spoiled, of ${replicas[0].runs.length} of ${FAULTY}`,
    );
    if (hasTrouble && spoiledCount === 0) {
      throw new Error('no answer was spoiled');
    }
    replicas.forEach(replica => replica.stop());
    return late.length > open.length / 2;
  },
);

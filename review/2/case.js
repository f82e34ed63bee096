import {dirname} from 'node:path';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

import {send} from './client.js';
import {EngineGroup, EVENTS, piece, writePieces} from './engines.js';
import {hasTrouble, runCase, sleep} from './fleet.js';

const STREAMS = 130;

/** Each replica spoils one in so many of its answers, which is less than 2 in 100. */
const SPOILS_ONE_IN = 51;

const EVENT_MILLISECONDS = 14;
/** The replica stands still after this piece, and then writes the next ones at once. */
const LAST_BEFORE_PAUSE = 20;
const PAUSE_MILLISECONDS = 42;

/** Answers of each replica, and the streams of which one is spoiled. */
const answersOf = new Map();
const spoiledStreams = new Set();

/** Writes a sound stream up to some piece, two more pieces and then one whose first line is spoiled. */
function writeSpoiled(stream) {
  const {id, first, response, group, engine} = stream;
  const count = (answersOf.get(engine.id) ?? 0) + 1;
  answersOf.set(engine.id, count);
  const isSpoiled = hasTrouble && first === 1 && count % SPOILS_ONE_IN === 0;
  if (!isSpoiled) {
    writePieces(stream);
    return;
  }
  spoiledStreams.add(id);
  let number = first;
  const timer = setInterval(() => {
    response.write(piece(id, number));
    number++;
    if (number > LAST_BEFORE_PAUSE) {
      clearInterval(timer);
      setTimeout(() => {
        const spoiled = piece(id, number + 2).replace('id: ', 'iq? ');
        group.record.add(
          `${engine.id} writes pieces ${number} and ${number + 1} of ${id}, and a spoiled one`,
        );
        response.write(piece(id, number) + piece(id, number + 1) + spoiled);
      }, PAUSE_MILLISECONDS);
    }
  }, EVENT_MILLISECONDS);
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (fleet, record) => {
    const engines = new EngineGroup(fleet, record, writeSpoiled);
    await engines.start();
    await fleet.start(2);
    await sleep(1_500);
    const answers = [];
    for (let index = 0; index < STREAMS; index++) {
      const id = `quote${String(index).padStart(4, '0')}`;
      const router = fleet.routers[index % fleet.routers.length];
      answers.push(
        send(router.front, {
          path: '/quote/draft',
          id,
          deadline: 20_000,
          headers: {
            Model: 'daka510000',
            'Token-Count': '800,146',
            'Prefix-Hash': `5c1e07a2:40,f00d${id.slice(-4)}:760`,
          },
        }),
      );
      await sleep(80);
    }
    let broken = 0;
    for (const {id, status, end, body} of await Promise.all(answers)) {
      const expected = Array.from({length: EVENTS}, (_, index) =>
        piece(id, index + 1),
      );
      const missing = expected.flatMap((text, index) =>
        body.includes(text) ? [] : [index + 1],
      );
      if (status !== 200 || end !== 'whole' || missing.length > 0) {
        record.add(
          `client got ${status} (${end}) for ${id}; missing pieces: ${missing.join(' ')}`,
        );
      }
      if (status === 200 && end === 'whole' && missing.length > 0) {
        broken++;
        record.add(
          `ORDER: ${id} ended as complete without ${missing.join(' ')}`,
        );
      }
    }
    for (const [replica, count] of answersOf) {
      record.add(`${replica} gave ${count} answers`);
    }
    record.add(
      `${broken} of ${STREAMS} streams end as complete with a gap; ${spoiledStreams.size} answers were spoiled`,
    );
    if (hasTrouble && spoiledStreams.size === 0) {
      throw new Error('no answer was spoiled');
    }
    engines.stop();
    return broken > 0;
  },
);

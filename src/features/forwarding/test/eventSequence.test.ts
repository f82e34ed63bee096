import * as fastCheck from 'fast-check';
import {describe, expect, it} from 'vitest';

import {EventFramer} from '../common/eventFramer.js';
import {EventSequence} from '../common/eventSequence.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

describe('the framer', () => {
  it.each([
    {name: 'line feeds', text: 'id: 1\ndata: a\n\n', ids: [1], rest: 0},
    {
      name: 'carriage returns',
      text: 'id: 1\r\ndata: a\r\n\r\n',
      ids: [1],
      rest: 0,
    },
    {name: 'no identifier', text: 'data: a\n\n', ids: [undefined], rest: 0},
    {name: 'no space', text: 'id:12\n\n', ids: [12], rest: 0},
    {name: 'a part', text: 'id: 1\n\nid: 2\nda', ids: [1], rest: 8},
    {name: 'a word', text: 'id: x\n\n', ids: [undefined], rest: 0},
  ])('reads events with $name', ({text, ids, rest}) => {
    const framer = new EventFramer();
    const events = framer.push(encoder.encode(text));
    expect(events.map(({id}) => id)).toEqual(ids);
    expect(framer.pendingBytes).toBe(rest);
  });
});

describe('the sequence', () => {
  it.each([
    {name: 'follows', last: undefined, texts: [event(1), event(2)], handed: 2},
    {name: 'goes on', last: 7, texts: [event(8), event(9)], handed: 2},
    {
      name: 'drops what was handed on',
      last: 7,
      texts: [event(6), event(7), event(8)],
      handed: 1,
    },
    {name: 'breaks at a gap', last: 7, texts: [event(9)], handed: 'broken'},
    {
      name: 'breaks at a gap inside',
      last: undefined,
      texts: [event(1), event(3)],
      handed: 'broken',
    },
    {
      name: 'breaks when identifiers end',
      last: undefined,
      texts: [event(1), 'data: a\n\n'],
      handed: 'broken',
    },
  ])('$name', ({last, texts, handed}) => {
    const sequence = new EventSequence(last);
    const step = sequence.push(encoder.encode(texts.join('')));
    expect(step.kind === 'events' ? step.events.length : step.kind).toBe(
      handed,
    );
  });

  it('hands on each event once and in order, however runs break and bytes are cut', () => {
    const runs = fastCheck.array(
      fastCheck.record({
        // Where the run stops, in bytes.
        length: fastCheck.nat(600),
        cut: fastCheck.integer({min: 1, max: 50}),
        // How many events that were handed on it repeats.
        again: fastCheck.nat(3),
      }),
      {maxLength: 6},
    );
    fastCheck.assert(
      fastCheck.property(runs, broken => {
        const count = 20;
        const sequence = new EventSequence(undefined);
        let seen = '';
        const play = (from: number, length: number, cut: number): void => {
          const ids = [...Array(count).keys()].map(index => index + 1);
          const text = ids
            .filter(id => id >= from)
            .map(event)
            .join('')
            .slice(0, length);
          sequence.beginRun();
          for (let start = 0; start < text.length; start += cut) {
            const chunk = encoder.encode(text.slice(start, start + cut));
            const step = sequence.push(chunk);
            expect(step.kind).toBe('events');
            if (step.kind === 'events') {
              seen += step.events
                .map(({bytes}) => decoder.decode(bytes))
                .join('');
            }
          }
        };
        for (const {length, cut, again} of broken) {
          const next = (sequence.lastEvent ?? 0) + 1;
          play(Math.max(1, next - again), length, cut);
        }
        play((sequence.lastEvent ?? 0) + 1, Infinity, 7);
        const whole = [...Array(count).keys()]
          .map(index => event(index + 1))
          .join('');
        expect(seen).toBe(whole);
      }),
    );
  });
});

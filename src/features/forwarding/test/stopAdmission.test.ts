import {describe, expect, it} from 'vitest';

import {AnswerDurations} from '../common/answerDurations.js';
import {decideStopAdmission} from '../common/stopAdmission.js';

describe('decideStopAdmission', () => {
  it.each([
    {name: 'short answers', stopLeft: 7_600, longest: [2_000], taken: true},
    {
      name: 'answers that fit just',
      stopLeft: 2_500,
      longest: [2_000],
      taken: true,
    },
    {
      name: 'answers that take all of the rest',
      stopLeft: 2_000,
      longest: [2_000],
      taken: false,
    },
    {
      name: 'an unknown duration',
      stopLeft: 7_600,
      longest: [undefined],
      taken: false,
    },
    {
      name: 'an unknown duration within the time limit',
      stopLeft: 7_600,
      longest: [undefined],
      timeLimit: 1_000,
      taken: true,
    },
    {
      name: 'one of two services with long answers',
      stopLeft: 5_000,
      longest: [100, 9_000],
      taken: false,
    },
    {
      name: 'long answers within the time limit',
      stopLeft: 5_000,
      longest: [9_000],
      timeLimit: 3_000,
      taken: true,
    },
    {
      name: 'a route without a service',
      stopLeft: 5_000,
      longest: [],
      taken: true,
    },
  ])(
    '$name: taken: $taken',
    ({stopLeft, longest, timeLimit = 20_000, taken}) => {
      const inputs = {stopLeft, timeLimit, longestAnswers: longest};
      expect(decideStopAdmission(inputs).isAdmitted).toBe(taken);
    },
  );
});

describe('AnswerDurations', () => {
  it('knows nothing of a service without a whole answer', () => {
    const durations = new AnswerDurations();
    durations.begin('model', 0);
    expect(durations.longest('model', 5_000)).toBeUndefined();
  });

  it('counts an answer in progress while it is longer than those that ended', () => {
    const durations = new AnswerDurations();
    durations.record('model', 300);
    const running = durations.begin('model', 0);
    expect(durations.longest('model', 200)).toBe(300);
    expect(durations.longest('model', 900)).toBe(900);
    running.dispose();
    expect(durations.longest('model', 900)).toBe(300);
    expect(durations.longest('other', 900)).toBeUndefined();
  });

  it('forgets an answer after 256 others', () => {
    const durations = new AnswerDurations();
    durations.record('model', 5_000);
    for (let count = 0; count < 256; count++) {
      durations.record('model', 100);
    }
    expect(durations.longest('model', 0)).toBe(100);
  });
});

import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {exampleOperations, exampleOptions} from '../support/exampleSystem.js';
import {LaunchedSystem} from '../support/launcher.js';
import {readSession, sessionNames} from './goldenFiles.js';
import {SessionPlayer} from './goldenSession.js';

/** Plays golden sessions against the real programs, under both policies and without faults. */

const policies = ['redwing', 'naive'] as const;

describe.each(policies)('golden sessions under policy %s', policy => {
  let system: LaunchedSystem;
  let player: SessionPlayer;

  beforeAll(async () => {
    const options = {...exampleOptions, policy};
    system = await LaunchedSystem.launch(options, exampleOperations);
    player = new SessionPlayer(system);
  });

  afterAll(() => system?.dispose());

  it.each(sessionNames())('%s gets the recorded responses', async name => {
    const session = readSession(name);
    const responses = await player.play(session);
    const expected = session.steps.map(step => step.answer);
    expect(responses).toEqual(expected);
  });
});

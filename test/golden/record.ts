import {exampleOperations, exampleOptions} from '../support/exampleSystem.js';
import {LaunchedSystem} from '../support/launcher.js';
import {readSession, sessionNames, writeSession} from './goldenFiles.js';
import {SessionPlayer} from './goldenSession.js';

/** Writes the answers of a launched system into the golden files; the change is read before it is committed. */

const system = await LaunchedSystem.launch(exampleOptions, exampleOperations);
try {
  const player = new SessionPlayer(system);
  for (const name of sessionNames()) {
    const session = readSession(name);
    const answers = await player.play(session);
    const steps = session.steps.map((step, index) => ({
      request: step.request,
      answer: answers[index] ?? step.answer,
    }));
    writeSession(name, {title: session.title, steps});
  }
} finally {
  await system.dispose();
}

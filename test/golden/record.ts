import {exampleOperations, exampleOptions} from '../support/exampleSystem.js';
import {LaunchedSystem} from '../support/launcher.js';
import {readSession, sessionNames, writeSession} from './goldenFiles.js';
import {SessionPlayer} from './goldenSession.js';

/** Records the responses of a launched system in the golden files. Review the difference before committing it. */

const system = await LaunchedSystem.launch(exampleOptions, exampleOperations);
try {
  const player = new SessionPlayer(system);
  for (const name of sessionNames()) {
    const session = readSession(name);
    const responses = await player.play(session);
    const steps = session.steps.map((step, index) => ({
      request: step.request,
      answer: responses[index] ?? step.answer,
    }));
    writeSession(name, {title: session.title, steps});
  }
} finally {
  await system.dispose();
}

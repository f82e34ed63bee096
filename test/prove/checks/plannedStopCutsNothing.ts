import {PlannedStop, Violation} from '../observations.js';

/** Checks that a planned stop ends with exit code 0, and that callers who follow the addresses complete all work. */
export function checkPlannedStopCutsNothing(
  stops: readonly PlannedStop[],
): readonly Violation[] {
  return stops.flatMap(({round, instance, exitCode, failedWork}) => {
    const code = `${instance} ended with exit code ${exitCode}`;
    const work = `work failed while ${instance} stopped: ${failedWork.join('; ')}`;
    const details = [
      ...(exitCode === 0 ? [] : [code]),
      ...(failedWork.length === 0 ? [] : [work]),
    ];
    return details.map((detail): Violation => ({
      invariant: 'plannedStopCutsNothing',
      subject: `${instance} ${round}`,
      detail,
    }));
  });
}

import {PlannedStop, Violation} from '../observations.js';

/** A planned stop ends with code 0, and all work of callers that follow the addresses is done. */
export function checkPlannedStopCutsNothing(
  stops: readonly PlannedStop[],
): readonly Violation[] {
  return stops.flatMap(({round, instance, exitCode, failedWork}) => {
    const code = `${instance} ended with ${exitCode}`;
    const work = `work failed while ${instance} stopped: ${failedWork.join('; ')}`;
    const details = [
      ...(exitCode === 0 ? [] : [code]),
      ...(failedWork.length === 0 ? [] : [work]),
    ];
    return details.map((detail): Violation => ({
      point: 'plannedStopCutsNothing',
      subject: `${instance} ${round}`,
      detail,
    }));
  });
}

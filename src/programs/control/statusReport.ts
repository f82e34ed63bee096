import {ControlCore} from './controlCore.js';

/** Creates the response body of `GET /v1/status`. */
export function createStatusReport(core: ControlCore): unknown {
  const view = core.view();
  const {state} = core;
  const now = state.clock.monotonicMilliseconds();
  const {confirmedAt} = state.confirmation;
  return {
    instance: state.id,
    standing: view.standing,
    revision: view.configuration.revision,
    knownRevision: core.replica.knownRevision,
    confirmationAgeMilliseconds:
      confirmedAt === undefined ? undefined : Math.round(now - confirmedAt),
    tableReachable: state.tableFailedSince === undefined,
    instancesWithoutTable: state.countTableOutage(),
    instances: view.instances,
    upstreams: view.upstreams,
  };
}

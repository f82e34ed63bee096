import {ControlCore} from './controlCore.js';

/** What `GET /v1/status` shows. */
export function describeStatus(core: ControlCore): unknown {
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
    instancesWithoutTable: state.outageEvidence(),
    instances: view.instances,
    upstreams: view.upstreams,
  };
}

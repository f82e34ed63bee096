/** How much of its capacity an instance uses, and which part of new work it therefore sends to other instances. */

/** Utilization up to which an instance takes all new work. */
const FULL_ADMISSION_UTILIZATION = 0.9;
/** Share of new work that an instance at full utilization sends away; the rest shows when it can keep up again. */
const MAXIMUM_REDIRECTED_SHARE = 0.9;

/** Measures the load of this instance. */
export abstract class InstanceLoad {
  /** Share of recent time, from 0 to 1, in which the process was busy or waited for a processor. */
  abstract get utilization(): number;
}

/** Share of new work to redirect: grows from 0 as the utilization approaches 1. */
export function redirectedShare(utilization: number): number {
  const excess =
    (utilization - FULL_ADMISSION_UTILIZATION) /
    (1 - FULL_ADMISSION_UTILIZATION);
  return MAXIMUM_REDIRECTED_SHARE * Math.min(1, Math.max(0, excess));
}

import {randomUUID} from 'node:crypto';

import {Clock} from '../../base/common/clock.js';
import {InstanceRecord} from '../../features/instances/common/instance.js';
import {InstanceTable} from '../../features/instances/common/instanceTable.js';
import {LEASE_PERIOD_MILLISECONDS} from '../../features/layers/common/layerController.js';
import {TableLease} from '../../features/placement/common/tableLease.js';
import {TableService} from '../../infrastructure/table/common/tableService.js';

/** Constructs the lease whose holder orders upstreams to load layers. */

/** Key of the lease. */
const LEASE_KEY = 'leases/layers';

/** Duration of the lease: four renewal steps, so that it outlasts two lost responses. */
const LEASE_DURATION_MILLISECONDS = 4 * LEASE_PERIOD_MILLISECONDS;

/** Time before expiry from which the lease is not used, since clocks may run at slightly different rates. */
const LEASE_MARGIN_MILLISECONDS = 300;

/** Timeout of a call that reads or writes the lease. */
const LEASE_CALL_TIMEOUT_MILLISECONDS = 500;

/** Constructs the lease for an instance; the caller disposes of it. */
export function createLayerLease(
  ownRecord: InstanceRecord,
  table: TableService,
  clock: Clock,
  instances: InstanceTable,
): TableLease {
  return new TableLease(
    LEASE_KEY,
    formatHolder(ownRecord),
    table,
    clock,
    randomUUID,
    {
      durationMilliseconds: LEASE_DURATION_MILLISECONDS,
      marginMilliseconds: LEASE_MARGIN_MILLISECONDS,
      callMilliseconds: LEASE_CALL_TIMEOUT_MILLISECONDS,
      // Lost upstreams must be replaced during an outage of the store, too. Upstreams check fencing numbers.
      actsUnrenewed: true,
    },
    (holder, since) => hasHolderEnded(instances, holder, since),
  );
}

/** Formats a run of an instance as a lease holder: the name, a space and the start time. */
function formatHolder({name, startedAt}: InstanceRecord): string {
  return `${name} ${startedAt}`;
}

function hasHolderEnded(
  instances: InstanceTable,
  holder: string,
  writtenBefore: number,
): boolean {
  const separator = holder.lastIndexOf(' ');
  const startedAt = Number(holder.slice(separator + 1));
  return (
    separator > 0 &&
    Number.isFinite(startedAt) &&
    instances.hasRunEnded(holder.slice(0, separator), startedAt, writtenBefore)
  );
}

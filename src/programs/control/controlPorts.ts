import {Clock} from '../../base/common/clock.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {NonceSource} from '../../features/configuration/common/configurationProposer.js';
import {PeerConnection} from '../../features/peers/common/peerConnection.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {MembershipList} from '../../infrastructure/membership/common/membershipList.js';
import {Metrics} from '../../infrastructure/metrics/common/metrics.js';
import {ObjectStore} from '../../infrastructure/objects/common/objectStore.js';
import {TableService} from '../../infrastructure/table/common/tableService.js';

/** Periods and bounds, in seconds. */
export interface ControlTimes {
  readonly headReadSeconds: number;
  /** Between reads of the list by an instance alone, and between any two reads by all instances. */
  readonly membershipReadSeconds: number;
  /** Spent on reading the list by each instance, as long as all together read often enough. */
  readonly membershipReadBytesPerSecond: number;
  readonly peerExchangeSeconds: number;
  readonly confirmationBoundSeconds: number;
}

/** The outside of the core. */
export interface ControlPorts {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly membership: MembershipList;
  readonly peers: PeerConnection;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly nonce: NonceSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

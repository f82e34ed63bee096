import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {SystemView} from '../../membership/common/systemView.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {CellAuthority, ReleaseMessage} from '../common/cellMessages.js';
import {CellMap} from '../common/cellMap.js';
import {LaxityPolicy} from '../common/laxityPolicy.js';
import {
  CapacityBroker,
  Reservation,
  ReservationReply,
  RoutingPolicy,
  ServiceChoice,
  StageObservation,
  WorkEstimate,
} from '../common/routing.js';
import {ProcessLocation, ServiceChooser} from '../common/serviceChooser.js';
import {CellOwnerClient, PeerAuthorityFactory} from './cellOwnerClient.js';
import {CellDirectory} from './cellDirectory.js';
import {CellSearch} from './cellSearch.js';
import {DirectoryRefresher} from './directoryRefresher.js';
import {LocalCells} from './localCells.js';
import {PeerCells} from './peerCells.js';
import {ReservationIds} from './reservationIds.js';

/** Collaborators and settings of the broker. */
export interface CapacityBrokerOptions {
  readonly views: SystemViewSource;
  readonly connector: EngineConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerKey: string;
  readonly instanceId: string;
  /** Identifies this run of the process, so that its reservation ids differ from those of an earlier run. */
  readonly incarnation: string;
  readonly place: ProcessLocation;
  /** Approximate number of replicas in a cell. */
  readonly cellSize: number;
  /** Defaults to `LaxityPolicy`. */
  readonly policy?: RoutingPolicy;
  /** Defaults to a client over tRPC. */
  readonly createPeer?: PeerAuthorityFactory;
}

/** Obtains capacity from the owners of cells, which may include this process. */
export class DefaultCapacityBroker
  extends CapacityBroker
  implements Disposable
{
  /** The cells decided in this process; `createCellRouter` serves them to peers. */
  readonly cells: CellAuthority;
  private readonly disposables = new DisposableStore();
  private readonly localCells: LocalCells;
  private readonly directory: CellDirectory;
  private readonly ownerClient: CellOwnerClient;
  private readonly cellSearch: CellSearch;
  private readonly directoryRefresher: DirectoryRefresher;
  private readonly services: ServiceChooser;
  private readonly ids: ReservationIds;

  constructor(private readonly options: CapacityBrokerOptions) {
    super();
    const {clock, random, logger, metrics, instanceId, place} = options;
    this.ids = new ReservationIds(instanceId, options.incarnation);
    this.services = new ServiceChooser(place, clock, random);
    this.directory = new CellDirectory(clock, place.dataCentre);
    this.localCells = this.disposables.add(this.createLocalCells());
    this.cells = this.localCells;
    this.ownerClient = this.disposables.add(
      new CellOwnerClient(
        instanceId,
        this.localCells,
        options.createPeer ?? (address => this.createPeer(address)),
        this.directory,
        clock,
        metrics,
      ),
    );
    this.cellSearch = new CellSearch({
      instanceId,
      dataCentre: place.dataCentre,
      localCells: this.localCells,
      ownerClient: this.ownerClient,
      directory: this.directory,
      ids: this.ids,
      clock,
      random,
      logger,
      metrics,
    });
    this.directoryRefresher = this.disposables.add(
      new DirectoryRefresher(this.directory, this.ownerClient, clock, random),
    );
    this.disposables.add(options.views.onDidChange(view => this.update(view)));
    if (options.views.current !== undefined) {
      this.update(options.views.current);
    }
  }

  override reserve(
    work: WorkEstimate,
    model: string,
    token: AbortSignal,
  ): Promise<ReservationReply> {
    return this.cellSearch.reserve(work, model, [], token);
  }

  override async replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    token: AbortSignal,
  ): Promise<ReservationReply> {
    return this.cellSearch.replan(reservation, work, model, excluded, token);
  }

  override release(
    reservation: Reservation,
    observations: readonly StageObservation[],
  ): void {
    const {cell} = reservation;
    const {localId, grantedBy} = this.ids.parse(reservation.reservationId);
    const message: ReleaseMessage = {
      cell,
      reservationId: localId,
      observations: observations.map(roundObservation),
    };
    this.notifyAuthorities(cell, grantedBy, authority =>
      authority.release([message]),
    );
  }

  override reportFailure(
    reservation: Reservation,
    observation: StageObservation,
  ): void {
    const {cell} = reservation;
    const {localId, grantedBy} = this.ids.parse(reservation.reservationId);
    const message = {
      cell,
      reservationId: localId,
      observation: roundObservation(observation),
    };
    this.notifyAuthorities(cell, grantedBy, authority =>
      authority.reportFailure(message),
    );
  }

  override chooseService(
    service: string,
    excluded: readonly string[],
  ): ServiceChoice {
    return this.services.choose(service, excluded);
  }

  override releaseService(
    upstream: string,
    outcome: 'completed' | 'failed' | 'refused',
    milliseconds: number,
  ): void {
    this.services.release(upstream, outcome, milliseconds);
  }

  dispose(): void {
    this.disposables.dispose();
  }

  /** Notifies the instance that granted a reservation and the cell's current owner; only once if they are the same. */
  private notifyAuthorities(
    cell: string,
    grantedBy: string,
    notify: (authority: CellAuthority) => void,
  ): void {
    const authorities = new Set([
      this.ownerClient.authorityOfInstance(grantedBy),
      this.ownerClient.authorityOfOwner(cell),
    ]);
    for (const authority of authorities) {
      if (authority !== undefined) {
        notify(authority);
      }
    }
  }

  private update(view: SystemView): void {
    const cells = CellMap.of(view, this.options.cellSize);
    const instances = view.instances.map(instance => instance.member);
    this.directory.removeStale(cells);
    this.ownerClient.update(cells, instances);
    this.cellSearch.update(cells);
    this.directoryRefresher.update(cells);
    this.services.update(view.upstreams);
    this.localCells.update(view, cells);
  }

  private createLocalCells(): LocalCells {
    const {instanceId, connector, clock, random, logger, metrics} =
      this.options;
    return new LocalCells({
      instanceId,
      connector,
      policy: this.options.policy ?? new LaxityPolicy(),
      directory: this.directory,
      clock,
      random,
      logger,
      metrics,
    });
  }

  private createPeer(address: string): CellAuthority {
    const {peerKey, clock, metrics} = this.options;
    return new PeerCells(address, peerKey, clock, metrics);
  }
}

/** Rounds times to hundredths of a millisecond, which are precise enough and keep messages short. */
function roundObservation(observation: StageObservation): StageObservation {
  const round = (value: number | undefined): number | undefined =>
    value === undefined ? undefined : Math.round(value * 100) / 100;
  return {
    ...observation,
    decodeMilliseconds: round(observation.decodeMilliseconds),
    linkMilliseconds: round(observation.linkMilliseconds),
  };
}

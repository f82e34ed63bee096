import {Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../../base/common/lifecycle.js';
import {RandomSource} from '../../../base/common/randomSource.js';
import {EngineConnector} from '../../../infrastructure/engine/common/engineConnection.js';
import {Logger} from '../../../infrastructure/logging/common/logger.js';
import {Metrics} from '../../../infrastructure/metrics/common/metrics.js';
import {SystemView} from '../../membership/common/systemView.js';
import {SystemViewSource} from '../../membership/common/systemViewSource.js';
import {CellAuthority, ReleaseNote} from '../common/cellMessages.js';
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
import {Place, ServiceChooser} from '../common/serviceChooser.js';
import {CellCaller, PeerCellsFactory} from './cellCaller.js';
import {CellDirectory} from './cellDirectory.js';
import {CellSearch} from './cellSearch.js';
import {DirectoryRefresh} from './directoryRefresh.js';
import {LocalCells} from './localCells.js';
import {PeerCells} from './peerCells.js';
import {ReservationIds} from './reservationIds.js';

/** What the broker works with. */
export interface CapacityBrokerParts {
  readonly views: SystemViewSource;
  readonly connector: EngineConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peerKey: string;
  readonly instanceId: string;
  /** The process, so that its reservations are told from those of an earlier one. */
  readonly incarnation: string;
  readonly place: Place;
  /** Replicas in a cell at most. */
  readonly cellSize: number;
  /** Laxity by default. */
  readonly policy?: RoutingPolicy;
  /** Connects to peers by tRPC by default. */
  readonly createPeer?: PeerCellsFactory;
}

/** Obtains capacity from the owners of cells, this process among them. */
export class DefaultCapacityBroker
  extends CapacityBroker
  implements Disposable
{
  /** The cells that this process owns; to be served to peers by `createCellRouter`. */
  readonly cells: CellAuthority;
  private readonly owned = new DisposableStore();
  private readonly local: LocalCells;
  private readonly directory: CellDirectory;
  private readonly caller: CellCaller;
  private readonly search: CellSearch;
  private readonly refresh: DirectoryRefresh;
  private readonly services: ServiceChooser;
  private readonly ids: ReservationIds;

  constructor(private readonly parts: CapacityBrokerParts) {
    super();
    const {clock, random, logger, metrics, instanceId, place} = parts;
    this.ids = new ReservationIds(instanceId, parts.incarnation);
    this.services = new ServiceChooser(place, clock, random);
    this.directory = new CellDirectory(clock, place.dataCentre);
    this.local = this.owned.add(this.createLocalCells());
    this.cells = this.local;
    this.caller = this.owned.add(
      new CellCaller(
        instanceId,
        this.local,
        parts.createPeer ?? (address => this.createPeer(address)),
        this.directory,
        clock,
        metrics,
      ),
    );
    this.search = new CellSearch({
      instanceId,
      dataCentre: place.dataCentre,
      local: this.local,
      caller: this.caller,
      directory: this.directory,
      ids: this.ids,
      clock,
      random,
      logger,
      metrics,
    });
    this.refresh = this.owned.add(
      new DirectoryRefresh(this.directory, this.caller, clock, random),
    );
    this.owned.add(parts.views.onDidChange(view => this.update(view)));
    if (parts.views.current !== undefined) {
      this.update(parts.views.current);
    }
  }

  override reserve(
    work: WorkEstimate,
    model: string,
    token: AbortSignal,
  ): Promise<ReservationReply> {
    return this.search.reserve(work, model, [], token);
  }

  override async replan(
    reservation: Reservation,
    work: WorkEstimate,
    model: string,
    excluded: readonly string[],
    token: AbortSignal,
  ): Promise<ReservationReply> {
    return this.search.replan(reservation, work, model, excluded, token);
  }

  override release(
    reservation: Reservation,
    observations: readonly StageObservation[],
  ): void {
    const {cell} = reservation;
    const {localId, grantedBy} = this.ids.parse(reservation.reservationId);
    const note: ReleaseNote = {
      cell,
      reservationId: localId,
      observations: observations.map(roundObservation),
    };
    this.forAuthorities(cell, grantedBy, authority =>
      authority.release([note]),
    );
  }

  override reportFailure(
    reservation: Reservation,
    observation: StageObservation,
  ): void {
    const {cell} = reservation;
    const {localId, grantedBy} = this.ids.parse(reservation.reservationId);
    const note = {
      cell,
      reservationId: localId,
      observation: roundObservation(observation),
    };
    this.forAuthorities(cell, grantedBy, authority =>
      authority.reportFailure(note),
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
    this.owned.dispose();
  }

  /** Tells the process that granted a reservation and, if it is another, the cell's present owner. */
  private forAuthorities(
    cell: string,
    grantedBy: string,
    tell: (authority: CellAuthority) => void,
  ): void {
    const authorities = new Set([
      this.caller.authorityOf(grantedBy),
      this.caller.ownerOf(cell),
    ]);
    for (const authority of authorities) {
      if (authority !== undefined) {
        tell(authority);
      }
    }
  }

  private update(view: SystemView): void {
    const cells = CellMap.of(view, this.parts.cellSize);
    const instances = view.instances.map(one => one.member);
    this.directory.retain(cells);
    this.caller.update(cells, instances);
    this.search.update(cells);
    this.refresh.update(cells);
    this.services.update(view.upstreams);
    this.local.update(view, cells);
  }

  private createLocalCells(): LocalCells {
    const {instanceId, connector, clock, random, logger, metrics} = this.parts;
    return new LocalCells({
      instanceId,
      connector,
      policy: this.parts.policy ?? new LaxityPolicy(),
      directory: this.directory,
      clock,
      random,
      logger,
      metrics,
    });
  }

  private createPeer(address: string): CellAuthority {
    const {peerKey, clock, metrics} = this.parts;
    return new PeerCells(address, peerKey, clock, metrics);
  }
}

/** Hundredths of a millisecond are precise enough and short on the wire. */
function roundObservation(observation: StageObservation): StageObservation {
  const round = (value: number | undefined): number | undefined =>
    value === undefined ? undefined : Math.round(value * 100) / 100;
  return {
    ...observation,
    decodeMilliseconds: round(observation.decodeMilliseconds),
    linkMilliseconds: round(observation.linkMilliseconds),
  };
}

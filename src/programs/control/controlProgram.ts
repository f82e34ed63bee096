import {randomUUID} from 'node:crypto';
import {createServer, RequestListener} from 'node:http';

import {CancellationSource} from '../../base/common/cancellation.js';
import {DisposableOwner, toDisposable} from '../../base/common/lifecycle.js';
import {createRandomSource} from '../../base/node/randomlySeededSource.js';
import {SystemClock} from '../../base/node/systemClock.js';
import {AdministrationApi} from '../../features/administration/node/administrationApi.js';
import {OperatorKeys} from '../../features/administration/node/operatorKeys.js';
import {
  createViewRouter,
  ViewWatcher,
} from '../../features/membership/node/viewRouter.js';
import {createPeerRouter} from '../../features/peers/node/peerRouter.js';
import {RpcPeerConnection} from '../../features/peers/node/rpcPeerConnection.js';
import {PlacementController} from '../../features/placement/common/placementController.js';
import {HttpEngineConnector} from '../../infrastructure/engine/node/httpEngineConnector.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {BunyanLogger} from '../../infrastructure/logging/node/bunyanLogger.js';
import {HttpMembershipList} from '../../infrastructure/membership/node/httpMembershipList.js';
import {
  Metrics,
  SilentMetrics,
} from '../../infrastructure/metrics/common/metrics.js';
import {StatsdMetrics} from '../../infrastructure/metrics/node/statsdMetrics.js';
import {HttpObjectStore} from '../../infrastructure/objects/node/httpObjectStore.js';
import {
  createRpcHandler,
  mergeRpcRouters,
  parseAddress,
} from '../../infrastructure/rpc/node/rpc.js';
import {ControlSettings} from '../../infrastructure/settings/common/programSettings.js';
import {HttpTableService} from '../../infrastructure/table/node/httpTableService.js';
import {HttpWeightStore} from '../../infrastructure/weights/node/httpWeightStore.js';
import {ControlCore} from './controlCore.js';
import {createStatusReport} from './statusReport.js';

const PROGRAM = 'redwing-control';
/** Connections to each of the platform's services. */
const PLATFORM_CONNECTIONS = 2;
/** Placement sends one request at a time to each engine. */
const ENGINE_CONNECTIONS = {
  steps: {connections: 1},
  control: {connections: 1},
};

/** Secrets from the files that the settings refer to. */
export interface ControlSecrets {
  readonly peerKey: string;
  /** Hex SHA-256 hashes of the operators' keys, by operator name. */
  readonly operatorKeys: Readonly<Record<string, string>>;
}

/** Limit of a stop: its peers are told and the placement lease is returned, which needs the table service. */
const STOP_LIMIT_MILLISECONDS = 10_000;

/** The control program; creates and connects its components. */
export class ControlProgram extends DisposableOwner {
  readonly stopLimitMilliseconds = STOP_LIMIT_MILLISECONDS;
  readonly logger: Logger;
  private readonly metrics: Metrics;
  private readonly core: ControlCore;
  private readonly placement: PlacementController | undefined;
  private readonly listener: RequestListener;
  private readonly lifetime = new CancellationSource();

  constructor(
    private readonly settings: ControlSettings,
    secrets: ControlSecrets,
  ) {
    super();
    const {id} = settings.instance;
    this.logger = BunyanLogger.create(PROGRAM, settings.observation.logLevel, {
      instance: id,
    });
    this.metrics = this.createMetrics();
    this.core = this.register(this.createCore(secrets));
    this.placement = settings.placementEnabled
      ? this.register(this.createPlacement())
      : undefined;
    const watcher = new ViewWatcher(this.core, randomUUID());
    const router = mergeRpcRouters(
      createPeerRouter(this.core.responder),
      createViewRouter(this.core, watcher),
    );
    const handleRpc = createRpcHandler(router, secrets.peerKey);
    const administration = this.createAdministration(secrets);
    this.listener = (request, response) =>
      request.url?.startsWith('/v1/') === true
        ? administration.listener(request, response)
        : handleRpc(request, response);
  }

  /** Starts to listen, then to read the table and the membership list. */
  async start(): Promise<void> {
    const server = createServer(this.listener);
    const {host, port} = parseAddress(this.settings.controlAddress);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    this.register(
      toDisposable(() => {
        server.close();
        server.closeAllConnections();
      }),
    );
    this.core.start();
    this.placement?.start();
    this.logger.info('listening', {address: this.settings.controlAddress});
  }

  /** Notifies the peers and the entry program, then disposes everything. */
  async stop(): Promise<void> {
    this.logger.info('leaving');
    await Promise.all([this.core.leave(), this.placement?.stop()]);
    this.dispose();
    this.logger.info('stopped');
  }

  override dispose(): void {
    this.lifetime.cancel('stopped');
    super.dispose();
  }

  private createCore(secrets: ControlSecrets): ControlCore {
    const {settings} = this;
    const {platform} = settings;
    const {id} = settings.instance;
    const options = {connections: PLATFORM_CONNECTIONS};
    return new ControlCore(id, settings, {
      table: this.register(
        new HttpTableService(platform.tableAddress, id, options),
      ),
      objects: this.register(
        new HttpObjectStore(platform.objectsAddress, id, options),
      ),
      membership: this.register(
        new HttpMembershipList(platform.membershipAddress, id, options),
      ),
      peers: this.register(new RpcPeerConnection(secrets.peerKey)),
      clock: new SystemClock(),
      random: createRandomSource(),
      nonce: randomUUID,
      logger: this.logger,
      metrics: this.metrics,
    });
  }

  private createPlacement(): PlacementController {
    const {platform, instance} = this.settings;
    const {id, dataCentre} = instance;
    const options = {connections: 1};
    return new PlacementController({
      dataCentre,
      incarnation: randomUUID(),
      view: () => this.core.view(),
      table: this.register(
        new HttpTableService(platform.tableAddress, id, options),
      ),
      weights: this.register(
        new HttpWeightStore(platform.weightsAddress, id, options),
      ),
      connector: this.register(new HttpEngineConnector(ENGINE_CONNECTIONS)),
      clock: new SystemClock(),
      random: createRandomSource(),
      nonce: randomUUID,
      logger: this.logger,
      metrics: this.metrics,
    });
  }

  private createMetrics(): Metrics {
    const {metricsAddress} = this.settings.observation;
    return metricsAddress === undefined
      ? new SilentMetrics()
      : this.register(new StatsdMetrics(metricsAddress));
  }

  private createAdministration(secrets: ControlSecrets): AdministrationApi {
    const {core} = this;
    return new AdministrationApi(
      {
        configuration: () => core.replica.current,
        status: () => createStatusReport(core),
        isServing: () => core.view().standing.kind === 'serving',
        readLog: (after, token) => core.proposals.readLog(after, token),
        propose: (proposal, operator, token) =>
          core.proposals.propose(proposal, operator, token),
      },
      new OperatorKeys(secrets.operatorKeys),
      this.logger,
      this.lifetime.token,
    );
  }
}

import {DisposableOwner} from '../../base/common/lifecycle.js';
import {createRandomSource} from '../../base/node/randomlySeededSource.js';
import {addressOfIncarnation} from '../../features/callers/common/entrypoints.js';
import {SystemViewPeerDirectory} from '../../features/claims/common/peerDirectory.js';
import {createClaimRouter} from '../../features/claims/node/claimRouter.js';
import {DefaultClaimService} from '../../features/claims/node/defaultClaimService.js';
import {RpcClaimPeers} from '../../features/claims/node/rpcClaimPeers.js';
import {emptyConfiguration} from '../../features/configuration/common/configuration.js';
import {defaultPipelineSettings} from '../../features/pipeline/common/pipelineSettings.js';
import {StrictSafeguards} from '../../features/pipeline/common/safeguards.js';
import {DefaultPipelineDriver} from '../../features/pipeline/node/defaultPipelineDriver.js';
import {createCellRouter} from '../../features/routing/node/cellRouter.js';
import {DefaultCapacityBroker} from '../../features/routing/node/defaultCapacityBroker.js';
import {DefaultServiceDispatcher} from '../../features/services/common/defaultServiceDispatcher.js';
import {mergeRpcRouters, serveRpc} from '../../infrastructure/rpc/node/rpc.js';
import {HttpTableService} from '../../infrastructure/table/node/httpTableService.js';
import {PolicyDependencies, PolicyComponents} from './policyComponents.js';

/** The components of the `redwing` policy: cells, pipelines with recovery, claims and recorded outcomes. */
export class RedwingComponents
  extends DisposableOwner
  implements PolicyComponents
{
  readonly claims: DefaultClaimService;
  readonly driver: DefaultPipelineDriver;
  readonly dispatcher: DefaultServiceDispatcher;
  private readonly broker: DefaultCapacityBroker;
  private readonly random = createRandomSource();

  constructor(private readonly dependencies: PolicyDependencies) {
    super();
    this.claims = this.register(this.createClaims());
    this.broker = this.register(this.createBroker());
    this.driver = this.createDriver();
    this.dispatcher = this.createDispatcher();
  }

  /** Starts to serve peers and to delete expired claims. */
  async start(): Promise<void> {
    const {settings, peerKey} = this.dependencies;
    const router = mergeRpcRouters(
      createCellRouter(this.broker.cells),
      createClaimRouter(this.claims),
    );
    this.register(await serveRpc(router, settings.peerAddress, peerKey));
    this.claims.start();
  }

  drain(timeoutMilliseconds: number): Promise<void> {
    return this.claims.drain(timeoutMilliseconds);
  }

  private createClaims(): DefaultClaimService {
    const {settings, views, peerKey, incarnation} = this.dependencies;
    const {clock, logger, metrics} = this.dependencies;
    const {tableAddress} = settings.platform;
    const directory = new SystemViewPeerDirectory();
    this.register(views.onDidChange(view => directory.update(view)));
    const peers = this.register(new RpcClaimPeers(peerKey));
    const table = this.register(
      new HttpTableService(tableAddress, settings.instance.id),
    );
    const external = {table, clock, logger, metrics, directory, peers};
    return new DefaultClaimService({...external, incarnation, peerKey});
  }

  private createBroker(): DefaultCapacityBroker {
    const {settings, views, engines, peerKey, incarnation} = this.dependencies;
    const {clock, logger, metrics} = this.dependencies;
    const {id, dataCentre, region} = settings.instance;
    return new DefaultCapacityBroker({
      views,
      connector: engines,
      clock,
      random: this.random,
      logger,
      metrics,
      peerKey,
      instanceId: id,
      incarnation,
      place: {dataCentre, region},
      cellSize: settings.cellSize,
    });
  }

  private createDriver(): DefaultPipelineDriver {
    const {engines, views, clock, logger, metrics} = this.dependencies;
    return new DefaultPipelineDriver({
      broker: this.broker,
      connector: engines,
      clock,
      logger,
      metrics,
      settings: defaultPipelineSettings,
      safeguards: new StrictSafeguards(),
      isLeaving: upstream =>
        views.current?.upstreams.some(
          ({id, state}) => id === upstream && state === 'leaving',
        ) ?? false,
    });
  }

  private createDispatcher(): DefaultServiceDispatcher {
    const {views, services, clock, logger, metrics} = this.dependencies;
    return new DefaultServiceDispatcher({
      broker: this.broker,
      connector: services,
      claims: this.claims,
      claimOwner: 'handler',
      configuration: () => views.current?.configuration ?? emptyConfiguration,
      addressOf: incarnation =>
        addressOfIncarnation(views.current?.instances ?? [], incarnation),
      clock,
      random: this.random,
      logger,
      metrics,
    });
  }
}

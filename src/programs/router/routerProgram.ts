import {Clock} from '../../base/common/clock.js';
import {DisposableStore, toDisposable} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {chooseAddresses} from '../../features/instances/common/chooseAddresses.js';
import {createGossipRouter} from '../../features/instances/node/gossipRouter.js';
import {createLinkRouter} from '../../features/links/node/linkRouter.js';
import {
  createJsonResponse,
  serveText,
  TextResponse,
} from '../../infrastructure/http/node/textServer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {mergeRpcRouters, serveRpc} from '../../infrastructure/rpc/node/rpc.js';
import {AddressOpener} from './addressOpener.js';
import {CallerListener} from './callerListener.js';
import {EventLoopMonitor} from './eventLoopMonitor.js';
import {GracefulStop} from './gracefulStop.js';
import {MemoryMonitor} from './memoryMonitor.js';
import {createRouterComponents, RouterComponents} from './routerComponents.js';
import {disabledMechanisms} from '../../features/mechanisms/common/mechanisms.js';
import {ReceivedMemory} from './receivedMemory.js';
import {RouterPorts} from './routerPorts.js';
import {RouterSettings} from './routerSettings.js';

/** Maximum addresses in one response; callers read no more. */
const ADDRESS_LIMIT = 64;

/** Upper limit of the time to live of addresses. Callers may try a lost instance for this long; queries are cheap. */
const ADDRESS_LIFETIME_SECONDS = 1;

/** Period at which the state of this instance is updated. */
const STATE_PERIOD_MILLISECONDS = 150;

/** File descriptors reserved for connections to upstreams, peers and the platform. */
const RESERVED_DESCRIPTORS = 1_200;
const MINIMUM_CALLER_CONNECTIONS = 256;

/** Response to address queries while no instance serves; callers then ask another instance. */
const NOT_SERVING_RESPONSE: TextResponse = createJsonResponse({}, 503);

const METRICS_PATH = '/metrics';
const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';

/** Runs one instance of the router. */
export class RouterProgram {
  private readonly owned = new DisposableStore();
  private readonly components: RouterComponents;
  private readonly callers: CallerListener;
  private readonly eventLoop: EventLoopMonitor;
  private readonly addresses: AddressOpener;
  private isStopping = false;

  constructor(
    private readonly settings: RouterSettings,
    private readonly ports: RouterPorts,
    private readonly memory: ReceivedMemory,
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
  ) {
    this.eventLoop = this.owned.add(new EventLoopMonitor(clock, logger));
    this.components = createRouterComponents(
      settings,
      ports,
      memory,
      clock,
      this.eventLoop,
      random,
      logger,
      this.owned,
    );
    this.addresses = this.owned.add(new AddressOpener(clock, logger));
    this.owned.add(
      new MemoryMonitor(logger, settings.memoryLimitBytes, () => ({
        requests: this.components.handler.count,
        requestBytes: memory.requests.usedBytes,
        responseBytes: memory.responses.usedBytes,
        unreadBytes: memory.unread.usedBytes,
        messageBytes: memory.messages.usedBytes,
        unwrittenResponses: this.callers.unwrittenCount,
        tunnels: this.components.tunnels.count,
      })),
    );
    this.callers = new CallerListener(
      clock,
      logger,
      this.components.handler,
      memory,
      this.eventLoop,
      Math.max(
        MINIMUM_CALLER_CONNECTIONS,
        settings.descriptorLimit - RESERVED_DESCRIPTORS,
      ),
    );
  }

  /** Resolves once callers can connect. */
  async start(): Promise<void> {
    const {
      activeConfiguration,
      configurationFollower,
      upstreamLister,
      crashRecordKeeper,
      gossip,
      layers,
    } = this.components;
    this.owned.add(
      activeConfiguration.onDidChange(({configuration}) =>
        this.callers.setLimits(configuration.limits),
      ),
    );
    if (this.settings.mechanisms.blockedPrompts) {
      crashRecordKeeper.start();
    }
    void configurationFollower.run();
    upstreamLister.start();
    await this.listen();
    gossip.start();
    layers.start();
    const timer = setInterval(
      () => this.updateState(),
      STATE_PERIOD_MILLISECONDS,
    );
    this.owned.add(toDisposable(() => clearInterval(timer)));
    this.owned.add(activeConfiguration.onDidConfirm(() => this.updateState()));
    const {instance, listen} = this.settings;
    this.logger.info('started', {
      switchedOff: disabledMechanisms(this.settings.mechanisms),
      dataCentre: instance.dataCentre,
      region: instance.region,
      ...listen,
    });
  }

  /** Shuts down within the time that the platform allows, finishing requests in progress as far as possible. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const stop = new GracefulStop(
      this.clock,
      this.logger,
      this.components,
      this.callers,
      this.settings.instance.name,
      {
        signalledAt: this.eventLoop.earliestSignalAt,
        suspendedBefore: this.eventLoop.suspendedBeforeSignal,
        stopMilliseconds: this.settings.stopMilliseconds,
      },
    );
    await stop.run();
    this.dispose();
  }

  dispose(): void {
    this.callers.close();
    this.owned.dispose();
  }

  private updateState(): void {
    if (this.isStopping) {
      return;
    }
    const {instances, activeConfiguration} = this.components;
    instances.state = activeConfiguration.isConfirmed ? 'serving' : 'unready';
  }

  private async listen(): Promise<void> {
    const {listen, peerKey} = this.settings;
    const {directory} = this.ports;
    const {gossip, lossAnnouncer, metrics, requestLosses} = this.components;
    const {tunnels, ownLinks} = this.components;
    const {addresses} = this;
    const peerRouter = mergeRpcRouters(
      createGossipRouter(
        input => gossip.answer(input),
        news => requestLosses.applyNews(news),
        news => lossAnnouncer.collect(news),
      ),
      createLinkRouter(address => ownLinks.test(address)),
    );
    await Promise.all([
      addresses.openLater('peers', listen.peers, address =>
        serveRpc(
          peerRouter,
          address,
          peerKey,
          server => tunnels.attach(server),
          this.memory.messages,
        ),
      ),
      addresses.openLater('readiness', listen.readiness, address =>
        serveText(address, {[directory.readinessPath]: () => this.readiness()}),
      ),
      listen.directory &&
        addresses.openLater('directory', listen.directory, address =>
          serveText(address, {
            [directory.addressesPath]: query => this.findAddresses(query),
          }),
        ),
      addresses.openLater('metrics', listen.metrics, address =>
        serveText(address, {
          [METRICS_PATH]: async () => ({
            status: 200,
            contentType: METRICS_CONTENT_TYPE,
            body: await metrics.metrics(),
          }),
        }),
      ),
      addresses.open('callers', listen.callers, address =>
        this.callers.listen(address),
      ),
    ]);
  }

  private readiness(): TextResponse {
    const {state} = this.components.instances;
    return createJsonResponse({state}, state === 'serving' ? 200 : 503);
  }

  private findAddresses(query: URLSearchParams): TextResponse {
    const {directory} = this.ports;
    const addressQuery = directory.parseAddressQuery(query);
    const {listed} = this.components.instances;
    if (listed.length === 0) {
      return NOT_SERVING_RESPONSE;
    }
    const addresses = chooseAddresses(addressQuery, listed, ADDRESS_LIMIT);
    const seconds = Math.min(
      ADDRESS_LIFETIME_SECONDS,
      this.settings.addressSeconds,
    );
    return createJsonResponse(directory.formatAddresses(addresses, seconds));
  }
}

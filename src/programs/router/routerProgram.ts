import {Clock} from '../../base/common/clock.js';
import {neverCancelled} from '../../base/common/cancellation.js';
import {DisposableStore, toDisposable} from '../../base/common/lifecycle.js';
import {RandomSource} from '../../base/common/randomSource.js';
import {chooseAddresses} from '../../features/instances/common/chooseAddresses.js';
import {createGossipRouter} from '../../features/instances/node/gossipRouter.js';
import {
  jsonAnswer,
  serveText,
  TextAnswer,
} from '../../infrastructure/http/node/textServer.js';
import {Logger} from '../../infrastructure/logging/common/logger.js';
import {serveRpc} from '../../infrastructure/rpc/node/rpc.js';
import {CallerListener} from './callerListener.js';
import {watchLoop} from './loopWatch.js';
import {createRouterParts, RouterParts} from './routerParts.js';
import {switchedOff} from '../../features/mechanisms/common/mechanisms.js';
import {RouterPorts} from './routerPorts.js';
import {RouterSettings} from './routerSettings.js';

/** Maximum addresses in one response; callers read no more. */
const ADDRESS_LIMIT = 64;

/** Upper limit of the time to live of addresses. Callers may try a lost instance for this long; queries are cheap. */
const ADDRESS_SECONDS = 1;

/** Period at which the state of this instance is updated. */
const STATE_MILLISECONDS = 150;

/** File descriptors reserved for connections to upstreams, peers and the platform. */
const RESERVED_DESCRIPTORS = 1_200;
const LEAST_CALLER_CONNECTIONS = 256;

/** Response to address queries while no instance serves; callers then ask another instance. */
const NONE_SERVING: TextAnswer = jsonAnswer({}, 503);

const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4';

/** Shares of the shutdown time after which idle connections are closed and new requests are refused. */
const IDLE_CLOSE_SHARE = 0.4;
const REFUSE_SHARE = 0.55;
/** Time reserved for an orderly exit before the platform kills the process. */
const EXIT_MARGIN_MILLISECONDS = 400;

/** Runs one instance of the router. */
export class RouterProgram {
  private readonly owned = new DisposableStore();
  private readonly parts: RouterParts;
  private readonly callers: CallerListener;
  private isStopping = false;

  constructor(
    private readonly settings: RouterSettings,
    private readonly ports: RouterPorts,
    private readonly clock: Clock,
    random: RandomSource,
    private readonly logger: Logger,
  ) {
    this.parts = createRouterParts(
      settings,
      ports,
      clock,
      random,
      logger,
      this.owned,
    );
    this.callers = new CallerListener(
      clock,
      logger,
      this.parts.handler,
      Math.max(
        LEAST_CALLER_CONNECTIONS,
        settings.descriptorLimit - RESERVED_DESCRIPTORS,
      ),
    );
  }

  /** Resolves once the instance listens on all addresses. */
  async start(): Promise<void> {
    const {keeper, follower, lister, talk, layers} = this.parts;
    this.owned.add(
      keeper.onDidChange(({configuration}) =>
        this.callers.setLimits(configuration.limits),
      ),
    );
    void follower.run();
    lister.start();
    await this.listen();
    talk.start();
    layers.start();
    const timer = setInterval(() => this.updateState(), STATE_MILLISECONDS);
    this.owned.add(toDisposable(() => clearInterval(timer)));
    this.owned.add(watchLoop(this.clock, this.logger));
    this.owned.add(keeper.onDidConfirm(() => this.updateState()));
    const {instance, listen} = this.settings;
    this.logger.info('started', {
      switchedOff: switchedOff(this.settings.mechanisms),
      dataCentre: instance.dataCentre,
      region: instance.region,
      ...listen,
    });
  }

  /** Shuts down within the time that the platform allows, finishing requests in progress as far as possible. */
  async stop(): Promise<void> {
    const {stopMilliseconds} = this.settings;
    const begin = this.clock.monotonicMilliseconds();
    const {handler, instances} = this.parts;
    this.isStopping = true;
    instances.state = 'stopping';
    this.logger.info('stopping', {inProgress: handler.count});
    this.callers.closeAfterAnswers();
    void this.leave();
    const until = (milliseconds: number): Promise<void> =>
      this.sleep(begin + milliseconds - this.clock.monotonicMilliseconds());
    await until(stopMilliseconds * IDLE_CLOSE_SHARE);
    this.callers.closeIdle();
    await Promise.race([
      handler.idle(),
      until(stopMilliseconds * REFUSE_SHARE),
    ]);
    handler.refuseNew();
    this.callers.stopListening();
    await Promise.race([
      handler.idle(),
      until(stopMilliseconds - EXIT_MARGIN_MILLISECONDS),
    ]);
    this.logger.info('stopped', {
      unfinished: handler.count,
      milliseconds: Math.round(this.clock.monotonicMilliseconds() - begin),
    });
    this.dispose();
  }

  dispose(): void {
    this.callers.close();
    this.owned.dispose();
  }

  private async leave(): Promise<void> {
    const {layers, registry, talk} = this.parts;
    await Promise.all([
      talk.exchangeWithAll(neverCancelled),
      layers.leave(neverCancelled),
    ]);
    await registry.withdraw(this.settings.instance.name, neverCancelled);
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.setTimer(Math.max(0, milliseconds), resolve);
    });
  }

  private updateState(): void {
    if (this.isStopping) {
      return;
    }
    const {instances, keeper} = this.parts;
    instances.state = keeper.isConfirmed ? 'serving' : 'unready';
  }

  private async listen(): Promise<void> {
    const {listen, peerKey} = this.settings;
    const {directory} = this.ports;
    const {talk, metrics} = this.parts;
    const news = createGossipRouter(input => talk.answer(input));
    this.owned.add(await serveRpc(news, listen.peers, peerKey));
    this.owned.add(
      await serveText(listen.readiness, {
        [directory.readinessPath]: () => this.readiness(),
      }),
    );
    if (listen.directory !== undefined) {
      this.owned.add(
        await serveText(listen.directory, {
          [directory.addressesPath]: query => this.addresses(query),
        }),
      );
    }
    this.owned.add(
      await serveText(listen.metrics, {
        [METRICS_PATH]: async () => ({
          status: 200,
          contentType: METRICS_TYPE,
          body: await metrics.metrics(),
        }),
      }),
    );
    await this.callers.listen(listen.callers);
  }

  private readiness(): TextAnswer {
    const {state} = this.parts.instances;
    return jsonAnswer({state}, state === 'serving' ? 200 : 503);
  }

  private addresses(query: URLSearchParams): TextAnswer {
    const {directory} = this.ports;
    const question = directory.parseAddressQuery(query);
    const {serving} = this.parts.instances;
    if (serving.length === 0) {
      return NONE_SERVING;
    }
    const addresses = chooseAddresses(question, serving, ADDRESS_LIMIT);
    const seconds = Math.min(ADDRESS_SECONDS, this.settings.addressSeconds);
    return jsonAnswer(directory.formatAddresses(addresses, seconds));
  }
}

/** @file main.cpp Entry point of the stand-in program. */
#include "standin/program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int kUsageError = 2;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description("Usage: laburnumweir-standin --config FILE");
  description.add_options()("help", "print this text")(
    "config", options::value<std::string>()->required(), "JSON file, see docs/PLATFORM.md");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description), values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n' << description;
    return kUsageError;
  }
  try {
    boost::asio::io_context context(1);
    laburnumweir::standin::Program program(context);
    program.Start(ReadFile(values["config"].as<std::string>()), std::cout);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
    context.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "laburnumweir-standin: " << error.what() << '\n';
    return 1;
  }
}

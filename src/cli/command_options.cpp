/** @file command_options.cpp Options of a subcommand, with help and errors. */
#include "cli/command_options.h"

#include <boost/program_options/parsers.hpp>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

namespace laburnumweir {

namespace po = boost::program_options;

CommandOptions::CommandOptions(std::string aName, std::string aUsage, std::string aText)
  : name_(std::move(aName))
  , usage_(std::move(aUsage))
  , text_(std::move(aText))
  , options_("Options")
{
  options_.add_options()("help,h", "print this help");
}

void
CommandOptions::AddPositional(const std::string& aName, const std::string& aHelp)
{
  hidden_.add_options()(aName.c_str(), po::value<std::string>(), aHelp.c_str());
  positions_.add(aName.c_str(), 1);
  required_.push_back(aName);
}

void
CommandOptions::AddOperatorOptions()
{
  options_.add_options()("operator",
                         po::value<std::string>()->default_value("127.0.0.1:8001"),
                         "ADDRESS:PORT of the operators' endpoint of any host")(
    "token-file",
    po::value<std::string>(),
    "file with the operators' token; default: the variable LABURNUMWEIR_TOKEN");
}

std::optional<ExitCode>
CommandOptions::Parse(const Arguments& aArguments)
{
  po::options_description all;
  all.add(options_).add(hidden_);
  try {
    po::store(po::command_line_parser(aArguments).options(all).positional(positions_).run(),
              values_);
    po::notify(values_);
  } catch (const po::error& error) {
    std::cerr << "laburnumweir " << name_ << ": " << error.what() << "\n"
              << "Try 'laburnumweir " << name_ << " --help'.\n";
    return ExitCode::Usage;
  }
  if (values_.count("help") != 0) {
    std::cout << "Usage: laburnumweir " << name_ << " " << usage_ << " [options]\n\n"
              << text_ << "\n\n"
              << options_;
    return ExitCode::Ok;
  }
  for (const auto& name : required_) {
    if (values_.count(name) == 0) {
      std::cerr << "laburnumweir " << name_ << ": missing argument " << name << "\n"
                << "Usage: laburnumweir " << name_ << " " << usage_ << "\n";
      return ExitCode::Usage;
    }
  }
  return std::nullopt;
}

std::string
CommandOptions::Text(const std::string& aName) const
{
  return Has(aName) ? values_[aName].as<std::string>() : std::string();
}

long
CommandOptions::Number(const std::string& aName) const
{
  return values_[aName].as<long>();
}

bool
ReadFile(const std::string& aPath, std::string& aText)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    std::cerr << "laburnumweir: cannot read " << aPath << ": " << std::strerror(errno) << "\n";
    return false;
  }
  std::ostringstream content;
  content << file.rdbuf();
  aText = content.str();
  return true;
}

} // namespace laburnumweir
